#include "policy/endpoint_set.h"

namespace gateway::policy {

void EndpointSet::ApplyUpdate(EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints, double now_s,
                              SlowStart* slow_start) {
  if (kind != EndpointUpdateKind::kDelta) {
    for (Backend& backend : backends_) backend.endpoint.state = EndpointState::kRemoved;
  }
  for (const Endpoint& endpoint : endpoints) ApplyEndpoint(endpoint, now_s, slow_start);
  std::erase_if(backends_, [](const Backend& backend) {
    return backend.endpoint.state == EndpointState::kRemoved && backend.attempts_in_flight == 0;
  });
}

void EndpointSet::ApplyEndpoint(const Endpoint& endpoint, double now_s, SlowStart* slow_start) {
  Backend* backend = Find(endpoint.id);
  if (backend == nullptr) {
    if (endpoint.state == EndpointState::kRemoved) return;
    backend = &backends_.emplace_back();
    backend->last_response_at_s = now_s;
  }
  bool restarted = endpoint.started_at_s > 0 && endpoint.started_at_s != backend->endpoint.started_at_s;
  backend->endpoint = endpoint;
  if (restarted && slow_start->BeginAfterRestart(&backend->warm_up, endpoint.started_at_s, now_s)) {
    backend->outlier.RecordRestart();
  }
}

}  // namespace gateway::policy
