#include "config/gateway_config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <system_error>

#include "config/address_parser.h"
#include "config/json_flattener.h"

namespace gateway::config {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;

constexpr int kMinSockets = 64;
constexpr int kMinMemoryMb = 16;
constexpr int kMaxLimit = 1000000;

std::string ParseString(const json& object, const char* key) {
  auto it = object.find(key);
  if (it == object.end()) throw ConfigError::Missing(key);
  if (!it->is_string()) throw ConfigError::Unreadable(key);
  return it->get<std::string>();
}

tcp::endpoint ParseAddressAt(const json& object, const char* key) {
  return ParseAddress(key, ParseString(object, key));
}

std::optional<tcp::endpoint> ParseCounterAddress(const json& object) {
  auto it = object.find("counter");
  if (it == object.end() || it->is_null()) return std::nullopt;
  return ParseAddressAt(object, "counter");
}

uint64_t ParseSeed(const json& object) {
  std::string digits = ParseString(object, "seed");
  const char* digits_end = digits.data() + digits.size();
  uint64_t seed = 0;
  auto [end, error] = std::from_chars(digits.data(), digits_end, seed, 16);
  if (error != std::errc() || end != digits_end) throw ConfigError::Unreadable("seed", digits);
  return seed;
}

// Keeps the default in `*limit` if the key is absent.
void ParseLimit(const json& limits, const char* key, int min, int* limit) {
  auto it = limits.find(key);
  if (it == limits.end()) return;
  if (!it->is_number_integer() || *it < min || *it > kMaxLimit) {
    throw ConfigError::Unreadable(std::string("limits.") + key,
                                  (it->is_number() ? it->dump() : it->type_name()) +
                                      ", must be an integer from " + std::to_string(min) + " to " +
                                      std::to_string(kMaxLimit));
  }
  *limit = it->get<int>();
}

void ParseLimits(const json& object, GatewayConfig* config) {
  auto limits = object.find("limits");
  if (limits == object.end()) return;
  if (!limits->is_object()) throw ConfigError::Unreadable("limits");
  ParseLimit(*limits, "sockets", kMinSockets, &config->max_sockets);
  ParseLimit(*limits, "memory_mb", kMinMemoryMb, &config->max_memory_mb);
}

const json& FindSettings(const json& object) {
  auto settings = object.find("settings");
  if (settings == object.end()) throw ConfigError::Missing("settings");
  if (!settings->is_object()) throw ConfigError::Unreadable("settings");
  return *settings;
}

bool HaveSameClasses(const GatewayConfig& one, const GatewayConfig& other) {
  auto has_same_idempotency = [](const policy::ClassSettings& a, const policy::ClassSettings& b) {
    return a.idempotency == b.idempotency;
  };
  return one.deployment.class_names == other.deployment.class_names &&
         std::equal(one.settings.classes.begin(), one.settings.classes.end(), other.settings.classes.begin(),
                    other.settings.classes.end(), has_same_idempotency);
}

}  // namespace

GatewayConfig ParseGatewayConfig(const std::string& text) {
  json object = json::parse(text, nullptr, false);
  if (!object.is_object()) throw ConfigError("", "the configuration is not a JSON object");
  GatewayConfig config;
  config.name = ParseString(object, "name");
  config.listen_address = ParseAddressAt(object, "listen");
  config.discovery_address = ParseAddressAt(object, "discovery");
  config.counter_address = ParseCounterAddress(object);
  config.seed = ParseSeed(object);
  ParseLimits(object, &config);
  if (auto list = object.find("known"); list != object.end()) config.cached_endpoint_list = *list;
  std::string flat_settings = FlattenSettings(FindSettings(object));
  config.settings = ParseSettings(flat_settings);
  config.deployment = ParseDeploymentSettings(flat_settings);
  if (config.settings.counter_enabled && !config.counter_address) throw ConfigError::Missing("counter");
  return config;
}

GatewayConfig LoadGatewayConfig(const std::string& file_name) {
  std::ifstream file(file_name);
  std::stringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw ConfigError("", "cannot read the configuration file " + file_name);
  }
  return ParseGatewayConfig(text.str());
}

void CheckSameGateway(const GatewayConfig& current, const GatewayConfig& fresh) {
  auto check = [](bool same, const char* path) {
    if (!same) throw ConfigError(path, std::string("the configuration belongs to another gateway: ") + path);
  };
  check(fresh.name == current.name, "name");
  check(fresh.listen_address == current.listen_address, "listen");
  check(HaveSameClasses(current, fresh), "settings.request-classes");
  check(fresh.deployment.plan_names == current.deployment.plan_names, "settings.tiers-of-service");
}

std::vector<std::string> KeysThatNeedARestart(const GatewayConfig& current, const GatewayConfig& fresh) {
  std::vector<std::string> keys;
  bool same_limits = fresh.max_sockets == current.max_sockets && fresh.max_memory_mb == current.max_memory_mb;
  bool same_settings = fresh.settings == current.settings && fresh.deployment == current.deployment;
  if (!same_limits) keys.emplace_back("limits");
  if (!same_settings) keys.emplace_back("settings");
  if (fresh.counter_address.has_value() != current.counter_address.has_value()) keys.emplace_back("counter");
  return keys;
}

}  // namespace gateway::config
