// Maps the settings' keys to the code's terms. The only place that knows the keys; their meaning is on the
// fields that they are read into.
#ifndef GATEWAY_CONFIG_SETTINGS_PARSER_H_
#define GATEWAY_CONFIG_SETTINGS_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "policy/settings.h"

namespace gateway::config {

// The policy's settings, from lines of path=value. Unknown keys are ignored. Throws ConfigError with the path
// of the first key that is missing or unreadable.
policy::Settings ParseSettings(std::string_view text);

// What the network code needs of the settings and the policy does not.
struct DeploymentSettings {
  bool operator==(const DeploymentSettings&) const = default;

  std::vector<std::string> class_names;     // in the order of policy::Settings::classes
  std::vector<std::string> plan_names;      // in the order of policy::Settings::plans
  std::vector<std::string> zone_names;      // a zone's number is its index here
  std::vector<std::string> endpoint_kinds;  // a kind's number is its index here
  double connection_idle_s = 0;             // after which a backend closes an idle connection; 0: not known
  double connect_timeout_s = 0;
  double drain_grace_s = 0;  // in which a draining backend still takes requests, from the notification on
};

// The same text and errors as of ParseSettings().
DeploymentSettings ParseDeploymentSettings(std::string_view text);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_SETTINGS_PARSER_H_
