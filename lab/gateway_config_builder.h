// The configuration file of a real gateway process, made from typed settings. The names of the file's keys
// are the protocol's.
#ifndef GATEWAY_LAB_GATEWAY_CONFIG_BUILDER_H_
#define GATEWAY_LAB_GATEWAY_CONFIG_BUILDER_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "policy/settings.h"

namespace gateway::lab {

struct GatewayProcessConfig {
  int listen_port = 0;          // on loopback
  int discovery_port = 0;       // on loopback
  std::string known_endpoints;  // the endpoint list known at the start, as discovery sends it (JSON)
  policy::Settings settings;    // with idempotent request classes only
};

// The content of the file. Throws nlohmann::json::parse_error where the known list is not JSON.
nlohmann::json MakeGatewayConfig(const GatewayProcessConfig& config);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GATEWAY_CONFIG_BUILDER_H_
