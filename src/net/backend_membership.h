// Keeps the connection pool's backends in step with discovery's endpoint lists.
#ifndef GATEWAY_NET_BACKEND_MEMBERSHIP_H_
#define GATEWAY_NET_BACKEND_MEMBERSHIP_H_

#include <cstdint>
#include <vector>

#include "net/backend_connection_pool.h"
#include "net/endpoint_list.h"
#include "policy/events.h"

namespace gateway::net {

class BackendMembership {
 public:
  // `pool` outlives this object.
  explicit BackendMembership(BackendConnectionPool& pool) : pool_(pool) {}

  // Updates, drains and removes backends. Of a list that is not a delta, what it does not name is removed.
  void Apply(const EndpointList& list, policy::EndpointUpdateKind kind);

 private:
  void ReplaceMembers(const EndpointList& list);
  void ChangeMembers(const EndpointList& list);

  BackendConnectionPool& pool_;
  std::vector<uint32_t> members_;  // ready or draining
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_MEMBERSHIP_H_
