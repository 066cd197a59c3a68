#include "net/backend_membership.h"

#include <algorithm>
#include <utility>

namespace gateway::net {

using policy::EndpointState;

void BackendMembership::Apply(const EndpointList& list, policy::EndpointUpdateKind kind) {
  for (const ListedEndpoint& listed : list.endpoints) {
    uint32_t id = listed.endpoint.id;
    switch (listed.endpoint.state) {
      case EndpointState::kReady: pool_.Update(id, listed.address, listed.endpoint.started_at_s); break;
      case EndpointState::kDraining: pool_.Drain(id, list.notified_at); break;
      case EndpointState::kRemoved: pool_.Remove(id); break;
    }
  }
  if (kind == policy::EndpointUpdateKind::kDelta) {
    UpdateMembers(list);
  } else {
    ReplaceMembers(list);
  }
}

void BackendMembership::ReplaceMembers(const EndpointList& list) {
  std::vector<uint32_t> named;
  for (const ListedEndpoint& listed : list.endpoints) {
    if (listed.endpoint.state != EndpointState::kRemoved) named.push_back(listed.endpoint.id);
  }
  for (uint32_t id : members_) {
    if (std::find(named.begin(), named.end(), id) == named.end()) pool_.Remove(id);
  }
  members_ = std::move(named);
}

void BackendMembership::UpdateMembers(const EndpointList& list) {
  for (const ListedEndpoint& listed : list.endpoints) {
    auto member = std::find(members_.begin(), members_.end(), listed.endpoint.id);
    bool removed = listed.endpoint.state == EndpointState::kRemoved;
    if (removed && member != members_.end()) members_.erase(member);
    if (!removed && member == members_.end()) members_.push_back(listed.endpoint.id);
  }
}

}  // namespace gateway::net
