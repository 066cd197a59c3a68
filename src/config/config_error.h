// The exception that all configuration parsers throw.
#ifndef GATEWAY_CONFIG_CONFIG_ERROR_H_
#define GATEWAY_CONFIG_CONFIG_ERROR_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace gateway::config {

// Names the invalid configuration key and the reason. what() is a complete one-line message.
class ConfigError : public std::runtime_error {
 public:
  // `path` is the invalid key, for example "limits.sockets". It is empty if the file as a whole is invalid.
  ConfigError(std::string path, const std::string& message)
      : std::runtime_error(message), path_(std::move(path)) {}

  static ConfigError Missing(const std::string& path) { return {path, "setting is missing: " + path}; }
  static ConfigError Unreadable(const std::string& path) { return {path, "setting is unreadable: " + path}; }
  static ConfigError Unreadable(const std::string& path, const std::string& value) {
    return {path, "setting is unreadable: " + path + "=" + value};
  }

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_CONFIG_ERROR_H_
