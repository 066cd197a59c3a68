// The configuration file of a gateway.
#ifndef GATEWAY_CONFIG_GATEWAY_CONFIG_H_
#define GATEWAY_CONFIG_GATEWAY_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "config/config_error.h"
#include "config/settings_parser.h"
#include "policy/settings.h"

namespace gateway::config {

struct GatewayConfig {
  std::string name;
  boost::asio::ip::tcp::endpoint listen_address;
  boost::asio::ip::tcp::endpoint discovery_address;
  // Always set if the settings enable the counter.
  std::optional<boost::asio::ip::tcp::endpoint> counter_address;
  uint64_t seed = 0;  // seed of the policy's random numbers
  int max_sockets = 1024;
  int max_memory_mb = 192;
  // The last known endpoint list as unparsed JSON in the format of discovery. Null if there is none.
  nlohmann::json cached_endpoint_list;
  policy::Settings settings;
  DeploymentSettings deployment;
};

// Parses the content of a configuration file. Throws ConfigError on the first key that is missing or has an
// invalid value.
GatewayConfig ParseGatewayConfig(const std::string& text);

// Reads and parses a configuration file. Throws ConfigError also if the file cannot be read.
GatewayConfig LoadGatewayConfig(const std::string& file_name);

// Checks that a running gateway may load `fresh`. Throws ConfigError if the name, the listen address, the
// request classes or the plans differ from those of `current`: the file is then the configuration of another
// gateway that was installed by mistake.
void CheckSameGateway(const GatewayConfig& current, const GatewayConfig& fresh);

// Returns the top-level keys whose values differ and take effect only after a restart.
std::vector<std::string> KeysThatNeedARestart(const GatewayConfig& current, const GatewayConfig& fresh);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_GATEWAY_CONFIG_H_
