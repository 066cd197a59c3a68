// Reads the flat text of the settings: lines of path=value.
#ifndef GATEWAY_CONFIG_SETTINGS_PARSER_H_
#define GATEWAY_CONFIG_SETTINGS_PARSER_H_

#include <string>
#include <string_view>
#include <vector>

#include "policy/settings.h"

namespace gateway::config {

// The decision module's settings. Unknown keys are ignored. Throws ConfigError naming the key that is missing
// or unreadable.
policy::Settings ParseSettings(std::string_view text);

// What the sockets need of the same text and the decision module does not.
struct DeploymentSettings {
  std::vector<std::string> class_names, plan_names, zone_names, endpoint_kinds;
  double connection_idle_s = 0;  // after which a backend closes an idle connection; 0: not told
  double connect_timeout_s = 0;
  double drain_grace_s = 0;  // after the notification, in which a draining backend still takes requests
};
// Throws ConfigError.
DeploymentSettings ParseDeploymentSettings(std::string_view text);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_SETTINGS_PARSER_H_
