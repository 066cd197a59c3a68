// Tables for people and JSON for programs, from the same rows.
#ifndef GATEWAY_LAB_REPORT_H_
#define GATEWAY_LAB_REPORT_H_

#include <string>
#include <utility>
#include <vector>

namespace gateway::lab {

class Report {
 public:
  Report(std::string title, std::vector<std::string> columns)
      : title_(std::move(title)), columns_(std::move(columns)) {}

  // One text for each column.
  void AddRow(std::vector<std::string> cells) { rows_.push_back(std::move(cells)); }

  // A heading and a Markdown table.
  std::string ToMarkdown() const;
  // {"title": ..., "rows": [{column: cell}]}
  std::string ToJson() const;

 private:
  std::string title_;
  std::vector<std::string> columns_;
  std::vector<std::vector<std::string>> rows_;
};

// One column of a report whose rows are all of one type.
template <typename Row>
struct Column {
  const char* title;
  std::string (*format)(const Row& row);
};

// The titles of `columns`, in their order.
template <typename Row>
std::vector<std::string> ColumnTitles(const std::vector<Column<Row>>& columns) {
  std::vector<std::string> titles;
  titles.reserve(columns.size());
  for (const Column<Row>& column : columns) titles.emplace_back(column.title);
  return titles;
}

// The cells of one row, in the order of `columns`.
template <typename Row>
std::vector<std::string> FormatRow(const std::vector<Column<Row>>& columns, const Row& row) {
  std::vector<std::string> cells;
  cells.reserve(columns.size());
  for (const Column<Row>& column : columns) cells.push_back(column.format(row));
  return cells;
}

// A report with one row for each of `rows`.
template <typename Row>
Report MakeReport(const std::string& title, const std::vector<Column<Row>>& columns,
                  const std::vector<Row>& rows) {
  Report report(title, ColumnTitles(columns));
  for (const Row& row : rows) report.AddRow(FormatRow(columns, row));
  return report;
}

// With `digits` digits after the decimal point.
std::string FormatDecimal(double value, int digits = 2);

// `part` of `total` in per cent, with one digit and the sign; 0.0% where `total` is not above 0.
std::string FormatPercent(double part, double total);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_REPORT_H_
