// Slow start: limits the work that a backend is sent while it warms up after a start.
#ifndef GATEWAY_POLICY_SLOW_START_H_
#define GATEWAY_POLICY_SLOW_START_H_

#include "policy/random_source.h"
#include "policy/service_estimator.h"
#include "policy/settings.h"

namespace gateway::policy {

// The warm-up state of one backend.
class WarmUp {
 public:
  bool IsActive() const { return started_at_s_ > 0; }
  // Deducts the expected work of an attempt from the budget. Does nothing for a warmed-up backend.
  void Charge(double work_s) {
    if (IsActive()) budget_s_ -= work_s;
  }

 private:
  friend class SlowStart;
  double started_at_s_ = 0;   // when it started, as listed by discovery or assumed; 0: warmed up
  double budget_s_ = 0;       // work that it may still be sent, in seconds of expected latency
  double refilled_at_s_ = 0;  // when the budget was last refilled
};

// A backend that is warming up is assumed to have a fraction of its full capacity. The fraction rises
// linearly from Settings::slow_start_initial_fraction to 1 over Settings::slow_start_duration_s. The backend
// has a budget of work, in seconds of expected latency, which refills at that fraction of the work that this
// gateway currently sends to one warmed-up backend. So all gateways together send it no more than its
// fraction of what a warmed-up backend receives. If the backends are nearly idle, this refill rate would be
// close to zero. The budget therefore refills at no less than this gateway's equal share of what a backend
// with one core can take at its current fraction.
//
// This prevents two failures: a warming-up backend collapses under the combined load of all gateways, and all
// gateways send a burst to the first backend that comes back.
class SlowStart {
 public:
  // The arguments must outlive this object.
  SlowStart(const Settings& settings, const ServiceEstimator& estimator, RandomSource* random)
      : settings_(settings), estimator_(estimator), random_(*random) {}

  // Begins the warm-up of a backend that started at `started_at_s`. The budget starts at a random value
  // between zero and minus the work of one request. Otherwise hundreds of gateways, each with a budget of
  // less than one request, would all send one at the same time.
  void Begin(WarmUp* backend, double started_at_s, double now_s);
  // Begins the warm-up of a backend whose restart discovery has reported. Returns false and does nothing if
  // the warm-up would already be over.
  bool BeginAfterRestart(WarmUp* backend, double started_at_s, double now_s);
  // Begins a warm-up after a failed connection, if the backend has sent no response for some time. Such a
  // process may be starting. A process that rejects some connections and serves others is not starting.
  void BeginIfUnreachable(WarmUp* backend, double last_response_at_s, double now_s);

  // Refills the budget of a backend that is warming up and returns whether any is left. Ends the warm-up and
  // returns true if its duration is over.
  bool RefillAndCheckBudget(WarmUp* backend, double now_s) const;

  // Sets the number of backends that are ready and warmed up. The work that they serve is averaged over them.
  void SetWarmBackendCount(int count) { warm_backend_count_ = count; }
  // Records a successful response of a warmed-up backend.
  void RecordWarmResponse(const Request& request, double now_s);

 private:
  const Settings& settings_;
  const ServiceEstimator& estimator_;
  RandomSource& random_;
  int warm_backend_count_ = 0;
  double warm_work_s_ = 0;             // work served by one warmed-up backend, with exponential decay
  double warm_work_updated_at_s_ = 0;  // when warm_work_s_ was last updated
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SLOW_START_H_
