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
    backend = &backends_.emplace_back(NewIncarnation(now_s));
  }
  // An earlier start is older news, and 0 may be listed for the same process once its start is long ago.
  double known_start_s = backend->endpoint.started_at_s;
  bool restarted = endpoint.started_at_s > known_start_s;
  if (restarted) {
    WarmUp warm_up = backend->warm_up;  // a warm-up that has begun goes on, or begins anew below
    *backend = NewIncarnation(now_s);
    backend->warm_up = warm_up;
  }
  backend->endpoint = endpoint;
  backend->endpoint.started_at_s = std::max(known_start_s, endpoint.started_at_s);
  if (restarted) slow_start->BeginAfterRestart(&backend->warm_up, endpoint.started_at_s, now_s);
}

Backend EndpointSet::NewIncarnation(double now_s) {
  Backend backend;
  backend.incarnation = ++last_incarnation_;
  backend.last_response_at_s = now_s;
  return backend;
}

}  // namespace gateway::policy
