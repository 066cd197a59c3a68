// The error of everything that reads a configuration.
#ifndef GATEWAY_CONFIG_CONFIG_ERROR_H_
#define GATEWAY_CONFIG_CONFIG_ERROR_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace gateway::config {

// What is wrong with a configuration, and at which key. what() is a complete message in one line.
class ConfigError : public std::runtime_error {
 public:
  // `path`: the key at fault, as in "limits.sockets"; empty where the file as a whole is.
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
