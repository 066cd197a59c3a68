#include "net/endpoint_list.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/address_parser.h"
#include "config/config_error.h"
#include "config/json_flattener.h"

namespace gateway::net {
namespace {

using nlohmann::json;
using policy::EndpointState;

using NamedEndpoint = std::pair<std::string, ListedEndpoint>;

constexpr double kMsPerS = 1000;

// Returns the index of the name in `names`, or the number of names if it is not among them.
int IndexOfName(const std::vector<std::string>& names, const std::string& name) {
  return config::FindName(names, name).value_or(static_cast<int>(names.size()));
}

EndpointState ParseState(const std::string& status) {
  if (status == "active") return EndpointState::kReady;
  if (status == "leaving") return EndpointState::kDraining;
  if (status == "left") return EndpointState::kRemoved;
  throw DiscoveryError("endpoint status must be active, leaving or left, but is " + status);
}

NamedEndpoint ParseEndpoint(const json& entry, const config::DeploymentSettings& deployment) {
  ListedEndpoint listed;
  policy::Endpoint& endpoint = listed.endpoint;
  endpoint.state = ParseState(entry.at("status").get<std::string>());
  if (endpoint.state != EndpointState::kRemoved || entry.contains("address")) {
    listed.address = config::ParseAddress("address", entry.at("address").get<std::string>());
  }
  endpoint.kind = IndexOfName(deployment.endpoint_kinds, entry.value("type", ""));
  endpoint.zone = IndexOfName(deployment.zone_names, entry.value("zone", ""));
  endpoint.cell = entry.value("group", 0);
  endpoint.weight = entry.value("weight", 1.0);
  endpoint.started_at_s = entry.value("since_ms", 0.0) / kMsPerS;
  if (!std::isfinite(endpoint.weight) || !std::isfinite(endpoint.started_at_s)) {
    throw DiscoveryError("endpoint weight and since_ms must be finite numbers, but are " +
                         std::to_string(endpoint.weight) + " and " +
                         std::to_string(endpoint.started_at_s * kMsPerS));
  }
  return {entry.at("name").get<std::string>(), listed};
}

// Assigns ids in the order of the names, so that names with the same hash get the same ids at every gateway
// that receives them in the same list.
void AssignIds(const std::vector<NamedEndpoint>& endpoints, EndpointIds* ids) {
  std::vector<std::string> names;
  names.reserve(endpoints.size());
  for (const auto& [name, listed] : endpoints) names.push_back(name);
  std::sort(names.begin(), names.end());
  for (const std::string& name : names) ids->IdOf(name);
}

}  // namespace

uint32_t EndpointIds::HashName(std::string_view name) {
  constexpr uint32_t kOffsetBasis = 2166136261U;
  constexpr uint32_t kPrime = 16777619U;
  uint32_t hash = kOffsetBasis;
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * kPrime;
  return hash;
}

uint32_t EndpointIds::IdOf(const std::string& name) {
  auto it = ids_.find(name);
  if (it != ids_.end()) return it->second;
  uint32_t id = hash_(name);
  while (!names_.try_emplace(id, name).second) ++id;
  ids_[name] = id;
  return id;
}

EndpointList ParseEndpointList(const json& list, const config::DeploymentSettings& deployment,
                               EndpointIds* ids) {
  EndpointList parsed;
  std::vector<NamedEndpoint> named;
  try {
    parsed.index = list.at("index").get<uint64_t>();
    parsed.full = list.at("snapshot").get<bool>();
    for (const json& entry : list.at("endpoints")) named.push_back(ParseEndpoint(entry, deployment));
  } catch (const config::ConfigError& error) {
    throw DiscoveryError(error.what());
  } catch (const json::exception& error) {
    throw DiscoveryError(error.what());
  }
  AssignIds(named, ids);
  for (auto& [name, listed] : named) {
    listed.endpoint.id = ids->IdOf(name);
    parsed.endpoints.push_back(std::move(listed));
  }
  return parsed;
}

}  // namespace gateway::net
