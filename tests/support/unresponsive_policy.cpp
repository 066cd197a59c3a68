// An admission policy that never answers a request, linked in place of the real one. The gateway's own
// deadline guards against this fault. The policy forwards each request of the class with an idempotency key
// once, to the last backend of the endpoint list.
#include "policy/admission_policy.h"

namespace gateway::policy {

class AdmissionPolicy::Impl {
 public:
  uint32_t backend_id = 0;
};
AdmissionPolicy::AdmissionPolicy(const Settings&, uint64_t, double, Actions*)
    : impl_(std::make_unique<Impl>()) {}
AdmissionPolicy::~AdmissionPolicy() = default;
void AdmissionPolicy::OnEndpointUpdate(double, EndpointUpdateKind, const std::vector<Endpoint>& endpoints,
                                       Actions*) {
  if (!endpoints.empty()) impl_->backend_id = endpoints.back().id;
}
void AdmissionPolicy::OnRequest(double, const Request& request, Actions* actions) {
  constexpr int kClassWithIdempotencyKey = 1;  // index of save-scenario in SettingsJson()
  if (request.request_class != kClassWithIdempotencyKey) return;
  actions->push_back(ForwardAttempt{request.id, impl_->backend_id, 0});
}
void AdmissionPolicy::OnResponseStarted(double, uint32_t, Actions*) {}
void AdmissionPolicy::OnAttemptOutcome(double, const AttemptOutcome&, Actions*) {}
void AdmissionPolicy::OnClientGone(double, uint32_t, Actions*) {}
void AdmissionPolicy::OnTimer(double, uint64_t, Actions*) {}
void AdmissionPolicy::OnStall(double) {}
void AdmissionPolicy::OnCounterReply(double, const CounterReply&, Actions*) {}

}  // namespace gateway::policy
