// How much work a backend may be sent while it warms up.
#ifndef GATEWAY_POLICY_SLOW_START_H_
#define GATEWAY_POLICY_SLOW_START_H_

#include "policy/random_source.h"
#include "policy/service_estimator.h"
#include "policy/settings.h"

namespace gateway::policy {

// One backend's state.
class WarmUp {
 public:
  bool IsActive() const { return since_s_ > 0; }
  // Takes an attempt's expected work from the budget.
  void Charge(double work_s) {
    if (IsActive()) budget_s_ -= work_s;
  }

 private:
  friend class SlowStart;
  double since_s_ = 0;    // clock of its start, as notified or assumed; 0: warmed up
  double budget_s_ = 0;   // work that may be sent, in seconds of expected latency
  double updated_s_ = 0;  // clock up to which the budget has been refilled
};

// Rule: a backend that warms up has a fraction of its full capacity, which rises evenly from the settings'
// initial fraction to 1 over the settings' duration. Its budget of work, in seconds, refills at that fraction
// of what this gateway now sends to a warmed-up backend. So all gateways together send it no more than its
// fraction of what the others take. Where the backends are little used that would be next to nothing, so the
// budget refills at least at this gateway's even part of what a backend of one core bears.
//
// Guards against two failures: a warming-up backend that collapses under the sum of all gateways, and a burst
// of all gateways onto the first backend that returns.
class SlowStart {
 public:
  // The references must outlive this.
  SlowStart(const Settings& settings, const ServiceEstimator& estimator, RandomSource* random)
      : settings_(settings), estimator_(estimator), random_(*random) {}

  // The backend warms up from `since_s` on. The budget starts below zero by a random part of a request:
  // otherwise hundreds of gateways, each with room for less than one, would all send one at once.
  void Begin(WarmUp* backend, double since_s, double now_s);
  // The same where discovery has told of a restart, unless it is over by now. Returns whether it is not.
  bool BeginAfterRestart(WarmUp* backend, double started_s, double now_s);
  // The same where an attempt could not connect. A process that takes no connection and has answered nothing
  // for a while may be starting; one that rejects some connections and serves others is not.
  void BeginIfUnreachable(WarmUp* backend, double last_response_s, double now_s);

  // Refills the budget and returns whether any is left. Ends a warm-up whose time is over. Only for backends
  // that warm up.
  bool RefillAndCheckBudget(WarmUp* backend, double now_s) const;

  // Number of backends that are ready and warmed up, over which the work they serve is averaged.
  void SetWarmBackendCount(int count) { warm_backends_ = count; }
  // A warmed-up backend has answered.
  void RecordWarmResponse(const Request& request, double now_s);

 private:
  const Settings& settings_;
  const ServiceEstimator& estimator_;
  RandomSource& random_;
  int warm_backends_ = 0;
  double warm_work_s_ = 0;     // work served by one warmed-up backend, with exponential decay
  double warm_updated_s_ = 0;  // clock of that
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SLOW_START_H_
