#include "lab/line_fit.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace gateway::lab {

Line FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  Line line;
  size_t count = std::min(x.size(), y.size());
  if (count == 0) return line;
  auto weight = [&](size_t i) { return y[i] > 0 ? 1 / (y[i] * y[i]) : 0; };

  double weight_sum = 0, mean_x = 0, mean_y = 0;
  for (size_t i = 0; i < count; ++i) {
    weight_sum += weight(i);
    mean_x += weight(i) * x[i];
    mean_y += weight(i) * y[i];
  }
  if (weight_sum <= 0) return line;
  mean_x /= weight_sum;
  mean_y /= weight_sum;

  double covariance = 0, variance = 0;
  for (size_t i = 0; i < count; ++i) {
    covariance += weight(i) * (x[i] - mean_x) * (y[i] - mean_y);
    variance += weight(i) * (x[i] - mean_x) * (x[i] - mean_x);
  }
  line.slope = variance > 0 ? covariance / variance : 0;
  line.intercept = mean_y - line.slope * mean_x;

  for (size_t i = 0; i < count; ++i) {
    if (y[i] == 0) continue;
    double fitted = line.intercept + line.slope * x[i];
    line.max_relative_error = std::max(line.max_relative_error, std::fabs(fitted / y[i] - 1));
  }
  return line;
}

}  // namespace gateway::lab
