#include "lab/line_fit.h"

#include <gtest/gtest.h>

namespace gateway::lab {
namespace {

TEST(LineFit, FindsTheLineThroughItsPoints) {
  Line line = FitLine({1, 2, 5}, {3, 5, 11});
  EXPECT_NEAR(line.slope, 2, 1e-9);
  EXPECT_NEAR(line.intercept, 1, 1e-9);
  EXPECT_NEAR(line.max_relative_error, 0, 1e-9);
}

}  // namespace
}  // namespace gateway::lab
