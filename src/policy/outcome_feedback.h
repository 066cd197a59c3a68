// What the end of an attempt teaches about its backend and about the load of all.
#ifndef GATEWAY_POLICY_OUTCOME_FEEDBACK_H_
#define GATEWAY_POLICY_OUTCOME_FEEDBACK_H_

#include "policy/actions.h"
#include "policy/demand_share.h"
#include "policy/endpoint_set.h"
#include "policy/events.h"
#include "policy/in_flight_request.h"
#include "policy/load_shedder.h"
#include "policy/running_clock.h"
#include "policy/service_estimator.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace gateway::policy {

// Passes each outcome to the rules that learn from it:
//   - success: estimator, outlier detector, concurrency limiter, load shedder, slow start; demand share if
//   late
//   - rejection: concurrency limiter, load shedder, demand share
//   - time-out: as a rejection if the backend has answered others meanwhile, else as a failure
//   - error: outlier detector
//   - failed or reset connection: outlier detector and, from a silent backend, slow start
//   - cancellation: outlier detector, if the backend was silent and other attempts are in flight there
//
// Invariant: time in which this gateway's process stood still teaches nothing of a backend (LatencyS).
class OutcomeFeedback {
 public:
  // The references must outlive this.
  OutcomeFeedback(const Settings& settings, const RunningClock& running_clock, ServiceEstimator* estimator,
                  SlowStart* slow_start, LoadShedder* load_shedder, DemandShare* demand_share)
      : settings_(settings),
        running_clock_(running_clock),
        estimator_(*estimator),
        slow_start_(*slow_start),
        load_shedder_(*load_shedder),
        demand_share_(*demand_share) {}

  // `attempt` has ended and is no longer counted as in flight. Logs ejection and return of the backend.
  void Record(Backend* backend, const InFlightRequest& request, const Attempt& attempt,
              const AttemptOutcome& outcome, double now_s, Actions* actions);
  // The backend counts as failed without an outcome, since it does not answer.
  void RecordFailure(Backend* backend, double now_s, Actions* actions);

 private:
  double LatencyS(const Request& request, const Attempt& attempt, double now_s) const;
  void RecordResponse(Backend* backend, const Request& request, double cost_units, double latency_s,
                      double now_s, Actions* actions);
  void RecordRejection(Backend* backend, double now_s);
  void RecordConnectionFailure(Backend* backend, double now_s, Actions* actions);

  const Settings& settings_;
  const RunningClock& running_clock_;
  ServiceEstimator& estimator_;
  SlowStart& slow_start_;
  LoadShedder& load_shedder_;
  DemandShare& demand_share_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_OUTCOME_FEEDBACK_H_
