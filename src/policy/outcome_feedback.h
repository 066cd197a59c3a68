// Updates the state of a backend and the load estimates with the outcome of each attempt.
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

// Passes each outcome to the components that use it:
//   - success: ServiceEstimator, OutlierDetector, ConcurrencyLimiter and LoadShedder; SlowStart if the
//     backend is warmed up; DemandShare if the latency objective was exceeded
//   - rejection: ConcurrencyLimiter, LoadShedder and DemandShare
//   - timeout: same as a rejection if the backend has sent any response since the attempt was sent; otherwise
//     same as an error
//   - error: OutlierDetector
//   - failed or reset connection: OutlierDetector, and SlowStart if the backend has been silent for some time
//   - cancellation: OutlierDetector, if the request is not finished, the backend has been silent since the
//     attempt was sent, and other attempts are in flight there
//   - never sent: none
//
// Invariant: a stall of this gateway's process does not count as latency of a backend (see EstimateLatencyS).
class OutcomeFeedback {
 public:
  // The arguments must outlive this object.
  OutcomeFeedback(const Settings& settings, const RunningClock& running_clock, ServiceEstimator* estimator,
                  SlowStart* slow_start, LoadShedder* load_shedder, DemandShare* demand_share)
      : settings_(settings),
        running_clock_(running_clock),
        estimator_(*estimator),
        slow_start_(*slow_start),
        load_shedder_(*load_shedder),
        demand_share_(*demand_share) {}

  // Records the outcome of `attempt`, which is no longer counted as in flight. Logs if the backend is ejected
  // or its probation ends.
  void Record(Backend* backend, const InFlightRequest& request, const Attempt& attempt,
              const AttemptOutcome& outcome, double now_s, Actions* actions);
  // Records a failure of the backend and logs if it is ejected. Callers use this for a silent backend whose
  // attempt has no outcome yet.
  void RecordFailure(Backend* backend, double now_s, Actions* actions);

 private:
  // Returns the latency of a response that is read now. If this process was stalled in the meantime, the
  // latency is only known to lie between the time for which the process has run since the attempt was sent
  // and the whole time since then. The result is then the expected latency, clamped to these bounds.
  double EstimateLatencyS(const Request& request, const Attempt& attempt, double now_s) const;
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
