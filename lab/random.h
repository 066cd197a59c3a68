// Seeded random numbers: the same seed gives the same draws on every machine, which the distributions of the
// standard library do not promise.
#ifndef GATEWAY_LAB_RANDOM_H_
#define GATEWAY_LAB_RANDOM_H_

#include <cmath>
#include <cstdint>

namespace gateway::lab {

// One output of SplitMix64 (Steele, Lea, Flood 2014): a well distributed hash of `value`.
inline uint64_t SplitMix64(uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// A generator that draws from SplitMix64. Not thread-safe.
class Random {
 public:
  explicit Random(uint64_t seed) : state_(SplitMix64(seed)) {}

  uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    return SplitMix64(state_);
  }
  // In [0, 1).
  double Uniform() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }
  // In [low, high).
  double Between(double low, double high) { return low + (high - low) * Uniform(); }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  // From 0 to count - 1.
  int Below(int count) { return static_cast<int>(Uniform() * count); }

 private:
  uint64_t state_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RANDOM_H_
