// Builds the configuration file of a real gateway process from typed settings. The protocol defines the keys
// of the file.
#ifndef GATEWAY_LAB_GATEWAY_CONFIG_BUILDER_H_
#define GATEWAY_LAB_GATEWAY_CONFIG_BUILDER_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "policy/settings.h"

namespace gateway::lab {

struct GatewayProcessConfig {
  int listen_port = 0;          // on loopback
  int discovery_port = 0;       // on loopback
  std::string known_endpoints;  // initial endpoint list as JSON, in the format of discovery
  policy::Settings settings;    // all request classes must be idempotent
};

// Returns the content of the file. Throws nlohmann::json::parse_error if `known_endpoints` is not valid JSON.
nlohmann::json MakeGatewayConfig(const GatewayProcessConfig& config);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GATEWAY_CONFIG_BUILDER_H_
