// Seeded random numbers. The same seed gives the same decisions on every machine.
#ifndef GATEWAY_POLICY_RANDOM_SOURCE_H_
#define GATEWAY_POLICY_RANDOM_SOURCE_H_

#include <cstdint>

namespace gateway::policy {

// Mixes the bits of `value` over the whole word. This is the output function of SplitMix64 (Steele, Lea,
// Flood 2014).
inline uint64_t MixBits(uint64_t value) {
  value += 0x9e3779b97f4a7c15ULL;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// The SplitMix64 generator. One source serves the whole decision module, so the order of draws is part of the
// module's behaviour.
class RandomSource {
 public:
  explicit RandomSource(uint64_t seed) : state_(seed) {}

  // Uniform in [0, 1).
  double Uniform() {
    state_ += 0x9e3779b97f4a7c15ULL;
    return static_cast<double>(MixBits(state_) >> 11) * 0x1.0p-53;
  }

 private:
  uint64_t state_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RANDOM_SOURCE_H_
