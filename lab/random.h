// Seeded randomness of the lab: the same seed gives the same draws on every machine.
#ifndef GATEWAY_LAB_RANDOM_H_
#define GATEWAY_LAB_RANDOM_H_

#include <cmath>
#include <cstdint>

namespace gateway::lab {

// One step of SplitMix64 (Steele, Lea, Flood 2014).
inline uint64_t Mix(uint64_t x) {
  x += 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

class Random {
 public:
  explicit Random(uint64_t seed) : state_(Mix(seed)) {}
  uint64_t Next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    return Mix(state_);
  }
  double Uniform() { return static_cast<double>(Next() >> 11) * 0x1.0p-53; }  // [0, 1)
  double Between(double low, double high) { return low + (high - low) * Uniform(); }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  int Below(int n) { return static_cast<int>(Uniform() * n); }  // 0 to n - 1

 private:
  uint64_t state_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RANDOM_H_
