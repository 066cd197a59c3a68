// Rejection of requests while the backends are overloaded.
#ifndef GATEWAY_POLICY_LOAD_SHEDDER_H_
#define GATEWAY_POLICY_LOAD_SHEDDER_H_

#include <vector>

#include "policy/endpoint_set.h"
#include "policy/random_source.h"
#include "policy/service_estimator.h"
#include "policy/settings.h"

namespace gateway::policy {

// Two rules shed load. Both spare classes with a high priority weight per second of work, and are stricter
// for requests beyond their tenant's quota:
// - A share of requests, the admitted share, passes at random. It is adjusted by the latency of all answers
//   against the target that ConcurrencyLimiter has for each backend. So gateways that seldom have an attempt
//   in flight at any one backend shed load too. It recovers with time, whether or not answers come.
// - The last part of the backends' concurrency limits is kept for the classes of higher value.
//
// Nothing here depends on the tenant: of two requests of one class, within quota, chance decides.
//
// Invariant: where nothing is in flight and no outcome has come for a latency objective, a request within
// quota passes. Otherwise nothing would ever tell that the backends have capacity again.
class LoadShedder {
 public:
  // The references must outlive this.
  LoadShedder(const Settings& settings, const ServiceEstimator& estimator, RandomSource* random);

  void RecordArrival(const Request& request);
  void RecordAttemptStarted() { ++attempts_in_flight_; }
  void RecordAttemptEnded(double now_s);

  // A backend answered. `latency_share`: its latency, cost-adjusted, over its class's latency objective.
  void RecordLatency(double latency_share, double now_s);
  // A backend rejected an attempt, or one timed out in its queue.
  void RecordRejection(double now_s);
  // A request ran out of time.
  void RecordDeadlineExceeded(double now_s);

  // Whether to reject the request. `borrowed`: it is beyond its tenant's quota. Draws a random number.
  bool ShouldShed(const Request& request, bool borrowed, const EndpointSet& endpoints, double now_s);

 private:
  // The request's value for its work, over that of the most valuable class; in [0, 1].
  double RelativeValue(const Request& request) const;
  // A client's retry that can only be answered late.
  bool IsLateRetry(const Request& request) const;
  void Recover(double now_s);

  const Settings& settings_;
  const ServiceEstimator& estimator_;
  RandomSource& random_;
  std::vector<double> max_time_left_s_;  // by class, the most that a request arrived with
  int attempts_in_flight_ = 0;           // of this gateway
  double last_outcome_at_s_ = 0;         // clock of the last attempt that ended
  double admitted_share_ = 1;
  double latency_recorded_at_s_ = 0;
  double recovered_at_s_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LOAD_SHEDDER_H_
