#include "lab/report.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace gateway::lab {

std::string Report::Table() const {
  auto line = [](const std::vector<std::string>& cells) {
    std::string text = "|";
    for (const std::string& cell : cells) text.append(" ").append(cell).append(" |");
    return text + "\n";
  };
  std::string text = "### " + title_ + "\n\n" + line(columns_);
  text += line(std::vector<std::string>(columns_.size(), "---"));
  for (const auto& row : rows_) text += line(row);
  return text;
}

std::string Report::Json() const {
  nlohmann::ordered_json all;
  all["title"] = title_;
  all["rows"] = nlohmann::ordered_json::array();
  for (const auto& row : rows_) {
    nlohmann::ordered_json object;
    for (size_t i = 0; i < row.size() && i < columns_.size(); ++i) object[columns_[i]] = row[i];
    all["rows"].push_back(object);
  }
  return all.dump(1) + "\n";
}

std::string Figure(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

Line Fit(const std::vector<double>& x, const std::vector<double>& y) {
  Line line;
  size_t n = std::min(x.size(), y.size());
  if (n == 0) return line;
  double weights = 0, mean_x = 0, mean_y = 0, above = 0, below = 0;
  auto weight = [&](size_t i) { return y[i] > 0 ? 1 / (y[i] * y[i]) : 0; };
  for (size_t i = 0; i < n; ++i) {
    weights += weight(i);
    mean_x += weight(i) * x[i];
    mean_y += weight(i) * y[i];
  }
  if (weights <= 0) return line;
  mean_x /= weights;
  mean_y /= weights;
  for (size_t i = 0; i < n; ++i) {
    above += weight(i) * (x[i] - mean_x) * (y[i] - mean_y);
    below += weight(i) * (x[i] - mean_x) * (x[i] - mean_x);
  }
  line.slope = below > 0 ? above / below : 0;
  line.at = mean_y - line.slope * mean_x;
  for (size_t i = 0; i < n; ++i) {
    double fitted = line.at + line.slope * x[i];
    if (y[i] != 0) line.error = std::max(line.error, std::fabs(fitted / y[i] - 1));
  }
  return line;
}

}  // namespace gateway::lab
