#include "lab/report.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace gateway::lab {
namespace {

std::string MarkdownRow(const std::vector<std::string>& cells) {
  std::string text = "|";
  for (const std::string& cell : cells) text.append(" ").append(cell).append(" |");
  return text + "\n";
}

}  // namespace

std::string Report::ToMarkdown() const {
  std::string text = "### " + title_ + "\n\n" + MarkdownRow(columns_);
  text += MarkdownRow(std::vector<std::string>(columns_.size(), "---"));
  for (const auto& row : rows_) text += MarkdownRow(row);
  return text;
}

std::string Report::ToJson() const {
  nlohmann::ordered_json json;
  json["title"] = title_;
  json["rows"] = nlohmann::ordered_json::array();
  for (const auto& row : rows_) {
    nlohmann::ordered_json object;
    for (size_t i = 0; i < row.size() && i < columns_.size(); ++i) object[columns_[i]] = row[i];
    json["rows"].push_back(object);
  }
  return json.dump(1) + "\n";
}

std::string FormatDecimal(double value, int digits) {
  char text[64];
  std::snprintf(text, sizeof(text), "%.*f", digits, value);
  return text;
}

std::string FormatPercent(double part, double total) {
  return FormatDecimal(total > 0 ? 100 * part / total : 0, 1) + "%";
}

}  // namespace gateway::lab
