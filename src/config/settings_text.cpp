#include "config/settings_text.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace gateway::config {
namespace {

constexpr double kMaxNumber = 1e9;

// Removes the first line from `*text` and returns it without its line end.
std::string_view TakeLine(std::string_view* text) {
  size_t end = text->find('\n');
  std::string_view line = text->substr(0, end);
  *text = end == std::string_view::npos ? std::string_view() : text->substr(end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

}  // namespace

SettingsText::SettingsText(std::string_view text) {
  while (!text.empty()) {
    std::string_view line = TakeLine(&text);
    if (line.empty()) continue;
    size_t equals = line.find('=');
    if (equals == std::string_view::npos) {
      throw ConfigError(std::string(line), "settings line has no '=': " + std::string(line));
    }
    values_[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
  }
}

const std::string& SettingsText::String(const std::string& path) const {
  auto it = values_.find(path);
  if (it == values_.end()) throw ConfigError::Missing(path);
  return it->second;
}

double SettingsText::Number(const std::string& path) const {
  const std::string& text = String(path);
  const char* text_end = text.data() + text.size();
  double value = 0;
  auto [end, error] = std::from_chars(text.data(), text_end, value);
  bool is_number = error == std::errc() && end == text_end;
  if (!is_number || !(value >= 0 && value <= kMaxNumber)) throw ConfigError::Unreadable(path, text);
  return value;
}

double SettingsText::PositiveNumber(const std::string& path) const {
  double value = Number(path);
  if (value == 0) throw ConfigError::Unreadable(path, String(path));
  return value;
}

int SettingsText::Integer(const std::string& path) const {
  double value = Number(path);
  if (value != std::floor(value)) throw ConfigError::Unreadable(path, String(path));
  return static_cast<int>(value);
}

bool SettingsText::Bool(const std::string& path) const {
  return Choice<bool>(path, {{"true", true}, {"false", false}});
}

std::vector<std::string> SettingsText::Strings(const std::string& path) const {
  std::vector<std::string> items;
  std::string_view rest = String(path);
  while (!rest.empty()) {
    size_t end = std::min(rest.find(','), rest.size());
    items.emplace_back(rest.substr(0, end));
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return items;
}

}  // namespace gateway::config
