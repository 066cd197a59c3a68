// Rejects requests while the backends are overloaded.
#ifndef GATEWAY_POLICY_LOAD_SHEDDER_H_
#define GATEWAY_POLICY_LOAD_SHEDDER_H_

#include <vector>

#include "policy/endpoint_set.h"
#include "policy/random_source.h"
#include "policy/service_estimator.h"
#include "policy/settings.h"

namespace gateway::policy {

// Two rules shed load. Both favour classes with a high priority weight per second of work, and are stricter
// for requests beyond their tenant's quota:
// - A random share of requests, the admitted share, passes. It is adjusted by comparing the latency of all
//   responses with the target that ConcurrencyLimiter uses for each backend. So gateways that rarely have an
//   attempt in flight at any one backend shed load too. It recovers with time, with or without responses.
// - The last part of the backends' concurrency limits is reserved for the more valuable classes.
//
// Nothing here depends on the tenant. Among requests of one class that are within quota, the choice is
// random.
//
// Invariant: a request within quota passes if no attempt is in flight and no attempt has ended for the
// duration of a latency objective. Otherwise nothing would ever show that the backends have capacity again.
class LoadShedder {
 public:
  // The arguments must outlive this object.
  LoadShedder(const Settings& settings, const ServiceEstimator& estimator, RandomSource* random);

  void RecordArrival(const Request& request);
  void RecordAttemptStarted() { ++attempts_in_flight_; }
  void RecordAttemptEnded(double now_s);

  // Records a response of a backend. `latency_share` is its cost-adjusted latency divided by the latency
  // objective of its class.
  void RecordLatency(double latency_share, double now_s);
  // Records that a backend rejected an attempt, or that an attempt timed out in its queue.
  void RecordRejection(double now_s);
  // Records that a request reached its deadline.
  void RecordDeadlineExceeded(double now_s);

  // Whether to reject the request. `borrowed` is true if it is beyond its tenant's quota. May draw a random
  // number.
  bool ShouldShed(const Request& request, bool borrowed, const EndpointSet& endpoints, double now_s);

 private:
  // The request's value per second of work, divided by that of the most valuable class, in [0, 1].
  double RelativeValue(const Request& request) const;
  // Whether the request is a client's retry whose latency objective has already passed.
  bool IsLateRetry(const Request& request) const;
  void Recover(double now_s);

  const Settings& settings_;
  const ServiceEstimator& estimator_;
  RandomSource& random_;
  std::vector<double> max_time_left_s_;  // by class, the longest time left of an arriving request
  int attempts_in_flight_ = 0;           // attempts of this gateway
  double last_outcome_at_s_ = 0;         // time at which the last attempt ended
  double admitted_share_ = 1;
  double latency_recorded_at_s_ = 0;
  double recovered_at_s_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_LOAD_SHEDDER_H_
