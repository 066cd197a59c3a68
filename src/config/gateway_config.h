// Reads a gateway's config.json into settings; holds no decision.
#ifndef GATEWAY_CONFIG_GATEWAY_CONFIG_H_
#define GATEWAY_CONFIG_GATEWAY_CONFIG_H_

#include <boost/asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config/config_error.h"
#include "config/settings_parser.h"
#include "policy/admission_policy.h"

namespace gateway::config {

using boost::asio::ip::tcp;

struct GatewayConfig {
  std::string name;
  tcp::endpoint listen;
  tcp::endpoint discovery;
  tcp::endpoint counter;
  bool has_counter = false;
  uint64_t seed = 0;
  int sockets = 1024;
  int memory_mb = 192;
  nlohmann::json known;  // null where the gateway has no list yet
  policy::Settings settings;
  DeploymentSettings site;
};

// "10.0.0.4:5000"; throws ConfigError naming `key` on anything else.
tcp::endpoint ParseAddress(const std::string& key, const std::string& text);

// The path=value lines that ParseSettings reads, from the nested form of the same settings.
std::string Flatten(const nlohmann::json& settings);

// Spaces and commas in names become '_', as they do in the flat form.
std::string PlainName(std::string_view name);

// Throws ConfigError, in plain words, on what is missing or unreadable.
GatewayConfig ParseGatewayConfig(const std::string& text);
// Throws ConfigError where `fresh` is another gateway's or another customer's configuration.
void CheckSameGateway(const GatewayConfig& now, const GatewayConfig& fresh);
GatewayConfig LoadGatewayConfig(const std::string& path);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_GATEWAY_CONFIG_H_
