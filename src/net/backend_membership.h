// Applies the endpoint lists of discovery to the backends of the connection pool.
#ifndef GATEWAY_NET_BACKEND_MEMBERSHIP_H_
#define GATEWAY_NET_BACKEND_MEMBERSHIP_H_

#include <cstdint>
#include <vector>

#include "net/backend_connection_pool.h"
#include "net/endpoint_list.h"
#include "policy/events.h"

namespace gateway::net {

// Keeps track of which backends discovery lists as ready or draining, so that a full list also removes from
// the connection pool those that it no longer names.
class BackendMembership {
 public:
  // `pool` must outlive this object.
  explicit BackendMembership(BackendConnectionPool& pool) : pool_(pool) {}

  // Updates, drains and removes backends of the pool. Unless `kind` is a delta, backends that the list does
  // not name are removed as well.
  void Apply(const EndpointList& list, policy::EndpointUpdateKind kind);

 private:
  void ReplaceMembers(const EndpointList& list);
  void UpdateMembers(const EndpointList& list);

  BackendConnectionPool& pool_;
  std::vector<uint32_t> members_;  // ids of the ready and draining backends
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_MEMBERSHIP_H_
