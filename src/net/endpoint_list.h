// Parses the endpoint lists of discovery's JSON responses and assigns ids to backends.
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

// Thrown for a malformed endpoint list. The message names the fault.
class DiscoveryError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A backend as the policy sees it, with the address at which it listens.
struct ListedEndpoint {
  policy::Endpoint endpoint;
  tcp::endpoint address;  // unspecified if the endpoint is removed
};

// An endpoint list as discovery sends it.
struct EndpointList {
  uint64_t index = 0;  // the list's version in discovery's numbering
  bool full = false;   // false if the list holds only the endpoints that changed
  // The time from which the changes count as notified to this gateway, even if it reads them later. Set by
  // the caller of ParseEndpointList.
  Clock::time_point notified_at{};
  std::vector<ListedEndpoint> endpoints;
};

// Assigns ids to backends. The ids are derived only from the names, so that they are the same at every
// gateway. Names with the same hash get the next free ids; only for such names may ids differ between
// gateways that received the names in a different order.
class EndpointIds {
 public:
  using Hash = uint32_t (*)(std::string_view);

  explicit EndpointIds(Hash hash = &HashName) : hash_(hash) {}

  // Returns the id of the name and assigns one if it has none. The id of a name never changes.
  uint32_t IdOf(const std::string& name);

  static uint32_t HashName(std::string_view name);  // 32-bit FNV-1a

 private:
  Hash hash_;
  std::unordered_map<std::string, uint32_t> ids_;
  std::unordered_map<uint32_t, std::string> names_;
};

// Parses an endpoint list (PROTOCOL, Discovery). Throws DiscoveryError if it is malformed; no id is assigned
// then.
EndpointList ParseEndpointList(const nlohmann::json& list, const config::DeploymentSettings& deployment,
                               EndpointIds* ids);

}  // namespace gateway::net

#endif  // GATEWAY_NET_ENDPOINT_LIST_H_
