// A module that never answers, linked in the real one's place: what the gateway's guard is for. Keyed
// requests are sent to the backend listed last, once.
#include "policy/admission_policy.h"

namespace gateway::policy {

class AdmissionPolicy::Impl {
 public:
  uint32_t backend = 0;
};
AdmissionPolicy::AdmissionPolicy(const Settings&, uint64_t, double, Actions*)
    : impl_(std::make_unique<Impl>()) {}
AdmissionPolicy::~AdmissionPolicy() = default;
void AdmissionPolicy::OnEndpointUpdate(double, EndpointUpdateKind, const std::vector<Endpoint>& entries,
                                       Actions*) {
  if (!entries.empty()) impl_->backend = entries.back().id;
}
void AdmissionPolicy::OnRequest(double, const Request& r, Actions* out) {
  if (r.request_class != 1) return;
  out->push_back(ForwardAttempt{r.id, impl_->backend, 0});
}
void AdmissionPolicy::OnResponseStarted(double, uint32_t, Actions*) {}
void AdmissionPolicy::OnAttemptOutcome(double, const AttemptOutcome&, Actions*) {}
void AdmissionPolicy::OnClientGone(double, uint32_t, Actions*) {}
void AdmissionPolicy::OnTimer(double, uint64_t, Actions*) {}
void AdmissionPolicy::OnCounterReply(double, const CounterReply&, Actions*) {}

}  // namespace gateway::policy
