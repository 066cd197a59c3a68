// The flat form of the settings: one path=value pair a line.
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

// Typed access to the values by their paths. Where a path is given more than once, the last one counts. Each
// accessor throws ConfigError, with the path, where the value is missing or unreadable.
class SettingsText {
 public:
  // Throws ConfigError on a line that is no pair.
  explicit SettingsText(std::string_view text);

  const std::string& String(const std::string& path) const;

  // Neither negative nor above 1e9: a clock in nanoseconds and an int hold every number.
  double Number(const std::string& path) const;
  double PositiveNumber(const std::string& path) const;
  int Integer(const std::string& path) const;

  bool Bool(const std::string& path) const;

  // The items between commas, without an empty one at the end.
  std::vector<std::string> Strings(const std::string& path) const;

  // The value that one of the words stands for.
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
