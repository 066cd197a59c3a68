// The decision module's only interface: settings and events in, actions out.
#ifndef GATEWAY_POLICY_ADMISSION_POLICY_H_
#define GATEWAY_POLICY_ADMISSION_POLICY_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"

namespace gateway::policy {

// One gateway's decisions. Deterministic, without I/O: every call gets the clock, in seconds, and appends
// actions in order. Not thread-safe. No call throws, but for failed allocations.
class AdmissionPolicy {
 public:
  // `seed` decides every random draw. `now_s` is the gateway's start.
  AdmissionPolicy(const Settings& settings, uint64_t seed, double now_s, Actions* actions);
  ~AdmissionPolicy();
  AdmissionPolicy(const AdmissionPolicy&) = delete;
  AdmissionPolicy& operator=(const AdmissionPolicy&) = delete;

  // Discovery told of endpoints, or failed.
  void OnEndpointUpdate(double now_s, EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints,
                        Actions* actions);
  // A client's request arrived. It gets exactly one final answer: an attempt's, a rejection or a failure.
  void OnRequest(double now_s, const Request& request, Actions* actions);
  // The first bytes of an answer went to the client: from now on no attempt of the request is cancelled. Only
  // from callers that stream answers; the gateway on sockets forwards complete answers and never calls this.
  void OnResponseStarted(double now_s, uint32_t request_id, Actions* actions);
  // An attempt ended. Called once for each ForwardAttempt.
  void OnAttemptOutcome(double now_s, const AttemptOutcome& outcome, Actions* actions);
  // The client has left, or the caller has given the final answer by itself.
  void OnClientGone(double now_s, uint32_t request_id, Actions* actions);
  // The delay of a StartTimer is over.
  void OnTimer(double now_s, uint64_t tag, Actions* actions);
  // The process stood still for `duration_s` up to now: what happened meanwhile is only told after this call.
  void OnStall(double duration_s);
  // A CallCounter ended. Called once for each.
  void OnCounterReply(double now_s, const CounterReply& reply, Actions* actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ADMISSION_POLICY_H_
