#include "lab/histogram.h"

#include <gtest/gtest.h>

#include <cmath>

#include "lab/random.h"

namespace gateway::lab {
namespace {

TEST(Histogram, PercentilesOfExponentialValuesMatchTheFormula) {
  constexpr double kMean = 0.02;
  Histogram histogram;
  Random random(3);
  for (int i = 0; i < 200000; ++i) histogram.Add(random.Exponential(kMean));
  for (double share : {0.5, 0.9, 0.99}) {
    double expected = -kMean * std::log(1 - share);
    EXPECT_NEAR(histogram.Percentile(share) / expected, 1, 0.04) << share;
  }
  EXPECT_NEAR(histogram.ShareUpTo(kMean), 1 - std::exp(-1), 0.01);
  EXPECT_NEAR(histogram.Mean(), kMean, 0.0005);
}

}  // namespace
}  // namespace gateway::lab
