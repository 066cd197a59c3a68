// Maps the keys of the settings to fields. Only this module knows the keys; their meaning is documented at
// the fields that they set.
#ifndef GATEWAY_CONFIG_SETTINGS_PARSER_H_
#define GATEWAY_CONFIG_SETTINGS_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "policy/settings.h"

namespace gateway::config {

// Parses the policy's settings from lines of path=value. Unknown keys are ignored. Throws ConfigError with
// the first key that is missing or has an invalid value.
policy::Settings ParseSettings(std::string_view text);

// The settings that the network code needs and the policy does not.
struct DeploymentSettings {
  bool operator==(const DeploymentSettings&) const = default;

  std::vector<std::string> class_names;     // in the order of policy::Settings::classes
  std::vector<std::string> plan_names;      // in the order of policy::Settings::plans
  std::vector<std::string> zone_names;      // the number of a zone is its index here
  std::vector<std::string> endpoint_kinds;  // the number of a kind is its index here
  // Idle time after which a backend closes a connection; 0 if unknown.
  double connection_idle_s = 0;
  double connect_timeout_s = 0;
  // How long a draining backend still accepts requests, counted from the discovery notification.
  double drain_grace_s = 0;
};

// Parses these settings from the same text as ParseSettings(). Throws ConfigError with the first of their
// keys that is missing or has an invalid value.
DeploymentSettings ParseDeploymentSettings(std::string_view text);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_SETTINGS_PARSER_H_
