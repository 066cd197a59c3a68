// Fits a straight line to measured points.
#ifndef GATEWAY_LAB_LINE_FIT_H_
#define GATEWAY_LAB_LINE_FIT_H_

#include <vector>

namespace gateway::lab {

// y = intercept + slope * x.
struct Line {
  double intercept = 0;
  double slope = 0;
  double max_relative_error = 0;  // largest error at the fitted points, as a share of y
};

// Minimizes the sum of the squared relative errors. Points with y <= 0 have no weight; if there are no other
// points, the result is a line of zeros. If the lists differ in length, the rest of the longer one is
// ignored.
Line FitLine(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_LINE_FIT_H_
