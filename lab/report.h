// Formats the results of experiments as Markdown tables and as JSON.
#ifndef GATEWAY_LAB_REPORT_H_
#define GATEWAY_LAB_REPORT_H_

#include <string>
#include <utility>
#include <vector>

namespace gateway::lab {

// A table of text cells with a title and named columns.
class Report {
 public:
  Report(std::string title, std::vector<std::string> columns)
      : title_(std::move(title)), columns_(std::move(columns)) {}

  // Adds a row with one cell for each column.
  void AddRow(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }

  // Returns a heading and a Markdown table.
  std::string ToMarkdown() const;
  // Returns {"title": ..., "rows": [{column: cell, ...}, ...]}.
  std::string ToJson() const;

 private:
  std::string title_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

// A column of a report, with the function that formats its cell for a row.
template <typename Row>
struct Column {
  const char* title;
  std::string (*format)(const Row& row);
};

// Returns the titles of `columns` in order.
template <typename Row>
std::vector<std::string> ColumnTitles(const std::vector<Column<Row>>& columns) {
  std::vector<std::string> titles;
  titles.reserve(columns.size());
  for (const Column<Row>& column : columns) titles.emplace_back(column.title);
  return titles;
}

// Returns the cells of one row in the order of `columns`.
template <typename Row>
std::vector<std::string> FormatRow(const std::vector<Column<Row>>& columns, const Row& row) {
  std::vector<std::string> cells;
  cells.reserve(columns.size());
  for (const Column<Row>& column : columns) cells.push_back(column.format(row));
  return cells;
}

// Returns a report with one row for each element of `rows`.
template <typename Row>
Report MakeReport(const std::string& title, const std::vector<Column<Row>>& columns,
                  const std::vector<Row>& rows) {
  Report report(title, ColumnTitles(columns));
  for (const Row& row : rows) report.AddRow(FormatRow(columns, row));
  return report;
}

// Formats `value` with `digits` digits after the decimal point.
std::string FormatDecimal(double value, int digits = 2);

// Formats `part` as a percentage of `total` with one digit after the decimal point and a percent sign.
// Returns 0.0% unless `total` is positive.
std::string FormatPercent(double part, double total);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REPORT_H_
