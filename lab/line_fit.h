// A straight line through measured points.
#ifndef GATEWAY_LAB_LINE_FIT_H_
#define GATEWAY_LAB_LINE_FIT_H_

#include <vector>

namespace gateway::lab {

// y = intercept + slope * x.
struct Line {
  double intercept = 0;
  double slope = 0;
  double max_relative_error = 0;  // of the points it was fitted to, as a share of y
};

// Least squares of the relative errors. Points whose y is 0 or less carry no weight; a line of zeros where
// there are no others. Of two lists of different lengths the longer one's rest is ignored.
Line FitLine(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LINE_FIT_H_
