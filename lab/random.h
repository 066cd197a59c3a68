// Seeded random numbers for the models. The same seed gives the same draws on every machine, which the
// distributions of the standard library do not guarantee.
#ifndef GATEWAY_LAB_RANDOM_H_
#define GATEWAY_LAB_RANDOM_H_

#include <cmath>
#include <cstdint>

#include "policy/random_source.h"

namespace gateway::lab {

// Draws from distributions with the generator of the decision module. Not thread-safe.
class Random {
 public:
  explicit Random(uint64_t seed) : source_(policy::MixBits(seed)) {}

  // Returns a number in [0, 1).
  double Uniform() { return source_.Uniform(); }
  // Returns a number in [low, high).
  double Between(double low, double high) { return low + (high - low) * Uniform(); }
  double Exponential(double mean) { return -mean * std::log1p(-Uniform()); }
  // Returns an integer from 0 to count - 1.
  int Below(int count) { return static_cast<int>(Uniform() * count); }

 private:
  policy::RandomSource source_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_RANDOM_H_
