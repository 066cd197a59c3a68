// Access to the flat form of the settings, which has one path=value pair per line.
#ifndef GATEWAY_CONFIG_SETTINGS_TEXT_H_
#define GATEWAY_CONFIG_SETTINGS_TEXT_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/config_error.h"

namespace gateway::config {

// Provides typed access to the values by path. If a path occurs more than once, the last value counts. Each
// accessor throws ConfigError with the path if the value is missing or invalid.
class SettingsText {
 public:
  // Throws ConfigError if a line that is not empty contains no '='.
  explicit SettingsText(std::string_view text);

  const std::string& String(const std::string& path) const;

  // Accepts values from 0 to 1e9, so that each fits into an int and, taken as seconds, into a clock in
  // nanoseconds.
  double Number(const std::string& path) const;
  double PositiveNumber(const std::string& path) const;
  int Integer(const std::string& path) const;

  bool Bool(const std::string& path) const;

  // Splits the value at commas. A trailing comma does not add an empty item.
  std::vector<std::string> Strings(const std::string& path) const;

  // Returns the value that `choices` assigns to the word at `path`.
  template <typename T>
  T Choice(const std::string& path, std::initializer_list<std::pair<const char*, T>> choices) const {
    const std::string& word = String(path);
    for (const auto& [choice, value] : choices) {
      if (word == choice) return value;
    }
    throw ConfigError::Unreadable(path, word);
  }

 private:
  std::unordered_map<std::string, std::string> values_;
};

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_SETTINGS_TEXT_H_
