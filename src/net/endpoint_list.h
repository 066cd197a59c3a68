// The endpoint list that discovery answers with: its JSON form, and the ids that backends get.
#ifndef GATEWAY_NET_ENDPOINT_LIST_H_
#define GATEWAY_NET_ENDPOINT_LIST_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/settings_parser.h"
#include "net/clock.h"
#include "net/socket_util.h"
#include "policy/events.h"

namespace gateway::net {

// What is wrong with an endpoint list.
class DiscoveryError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A backend as the policy sees it, and where it listens.
struct ListedEndpoint {
  policy::Endpoint endpoint;
  tcp::endpoint address;  // unspecified where the endpoint is removed
};

struct EndpointList {
  uint64_t index = 0;  // the list's version, in discovery's numbering
  bool full = false;   // else only the endpoints that changed
  // From when on its changes count as notified to this gateway, however late they are read. Set by the
  // caller.
  Clock::time_point notified_at{};
  std::vector<ListedEndpoint> endpoints;
};

// Gives backends ids that are the same at every gateway, since they follow from the names alone. Names with
// the same hash get the next free numbers; only then may gateways that met them in another order differ.
class EndpointIds {
 public:
  using Hash = uint32_t (*)(std::string_view);

  explicit EndpointIds(Hash hash = &HashName) : hash_(hash) {}

  // The same id whenever it is asked for the same name.
  uint32_t IdOf(const std::string& name);

  static uint32_t HashName(std::string_view name);  // FNV-1a, 32 bit

 private:
  Hash hash_;
  std::unordered_map<std::string, uint32_t> ids_;
  std::unordered_map<uint32_t, std::string> names_;
};

// Throws DiscoveryError on anything that is not an endpoint list (PROTOCOL, Discovery); then no id is given.
EndpointList ParseEndpointList(const nlohmann::json& list, const config::DeploymentSettings& deployment,
                               EndpointIds* ids);

}  // namespace gateway::net

#endif  // GATEWAY_NET_ENDPOINT_LIST_H_
