// A gateway's configuration file.
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
  std::optional<boost::asio::ip::tcp::endpoint> counter_address;  // present if the policy uses the counter
  uint64_t seed = 0;                                              // of the policy's random draws
  int max_sockets = 1024;
  int max_memory_mb = 192;
  // As last known, in discovery's JSON form and not parsed; null where there is none.
  nlohmann::json cached_endpoint_list;
  policy::Settings settings;
  DeploymentSettings deployment;
};

// Throws ConfigError on the first key that is missing or unreadable.
GatewayConfig ParseGatewayConfig(const std::string& text);

// The same from a file. Throws ConfigError also where the file cannot be read.
GatewayConfig LoadGatewayConfig(const std::string& file_name);

// Whether a running gateway can go on with `fresh`. Throws ConfigError where its name, address, request
// classes or plans differ from those of `current`: then it is another gateway's configuration, put there by
// mistake.
void CheckSameGateway(const GatewayConfig& current, const GatewayConfig& fresh);

// The keys whose values differ and which a running gateway does not take from `fresh`: they need a restart.
std::vector<std::string> KeysThatNeedARestart(const GatewayConfig& current, const GatewayConfig& fresh);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_GATEWAY_CONFIG_H_
