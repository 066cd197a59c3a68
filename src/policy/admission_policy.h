// Public interface of the decision module, which turns settings and events into actions.
#ifndef GATEWAY_POLICY_ADMISSION_POLICY_H_
#define GATEWAY_POLICY_ADMISSION_POLICY_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace gateway::policy {

// Makes all decisions of one gateway: admission, choice of backend, retries and calls to the counter. It is
// deterministic and does no I/O: every call receives the clock time in seconds and appends its actions in
// order. It is not thread-safe. Calls throw only if memory allocation fails.
class AdmissionPolicy {
 public:
  // `seed` determines every random draw. `now_s` is the time at which the gateway started.
  AdmissionPolicy(const Settings& settings, uint64_t seed, double now_s, Actions* actions);
  ~AdmissionPolicy();
  AdmissionPolicy(const AdmissionPolicy&) = delete;
  AdmissionPolicy& operator=(const AdmissionPolicy&) = delete;

  // Discovery returned endpoints, or failed.
  void OnEndpointUpdate(double now_s, EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints,
                        Actions* actions);
  // A client's request arrived. It gets exactly one final response: that of an attempt, a rejection or a
  // failure.
  void OnRequest(double now_s, const Request& request, Actions* actions);
  // The first bytes of a response were sent to the client. From now on no attempt of the request is
  // cancelled. Only callers that stream responses need this. The socket-based gateway forwards complete
  // responses and never calls it.
  void OnResponseStarted(double now_s, uint32_t request_id, Actions* actions);
  // An attempt ended. The caller reports this exactly once for each ForwardAttempt.
  void OnAttemptOutcome(double now_s, const AttemptOutcome& outcome, Actions* actions);
  // The client disconnected, or the caller itself sent the final response.
  void OnClientGone(double now_s, uint32_t request_id, Actions* actions);
  // The delay of a StartTimer action has passed.
  void OnTimer(double now_s, uint64_t tag, Actions* actions);
  // The process was stalled for the last `duration_s`. The caller must report the stall before any event that
  // happened during it.
  void OnStall(double duration_s);
  // A counter call ended. The caller reports this exactly once for each CallCounter.
  void OnCounterReply(double now_s, const CounterReply& reply, Actions* actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ADMISSION_POLICY_H_
