// Tables for people and JSON for programs, from the same rows.
#ifndef GATEWAY_LAB_REPORT_H_
#define GATEWAY_LAB_REPORT_H_

#include <string>
#include <vector>

namespace gateway::lab {

class Report {
 public:
  Report(std::string title, std::vector<std::string> columns)
      : title_(std::move(title)), columns_(std::move(columns)) {}
  // One text a column.
  void Row(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }
  std::string Table() const;  // in Markdown
  std::string Json() const;   // {"title": ..., "rows": [{column: cell}]}

 private:
  std::string title_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

// With so many digits after the point.
std::string Figure(double value, int digits = 2);

// Least squares of the relative errors through points (x, y), y above 0: y = at + slope x, and the largest
// error of a point as a share of it.
struct Line {
  double at = 0, slope = 0, error = 0;
};
Line Fit(const std::vector<double>& x, const std::vector<double>& y);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REPORT_H_
