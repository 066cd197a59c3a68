// Load balancing: selects the backend for an attempt.
#ifndef GATEWAY_POLICY_ENDPOINT_SELECTOR_H_
#define GATEWAY_POLICY_ENDPOINT_SELECTOR_H_

#include "policy/endpoint_set.h"
#include "policy/in_flight_request.h"
#include "policy/random_source.h"
#include "policy/retry_policy.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace gateway::policy {

// Selects the usable backend with the lowest cost. The cost is the expected latency, relative latency x (this
// gateway's attempts in flight there + 1). It is increased for failures and for a backend in another zone,
// and by a large constant for each attempt of this request that the backend has already had. It is reduced
// for a backend that is warming up, so that such a backend is preferred as long as it has budget left. A
// random factor breaks ties.
//
// A backend is usable if all of the following hold:
// - it is ready and not ejected;
// - it is not on probation, or has no attempt in flight;
// - it has room under its concurrency limit;
// - SlowStart allows it more work;
// - RetryPolicy allows it for this request.
class EndpointSelector {
 public:
  // Which backends Select considers: all, or only those that are warming up.
  enum class Candidates { kAll, kWarmingUp };

  // The arguments must outlive the selector.
  EndpointSelector(const Settings& settings, const RetryPolicy& retry_policy, EndpointSet* endpoints,
                   SlowStart* slow_start, RandomSource* random)
      : zone_(settings.zone),
        retry_policy_(retry_policy),
        endpoints_(*endpoints),
        slow_start_(*slow_start),
        random_(*random) {}

  // Returns null if no backend is usable. Draws one random number for each usable candidate.
  Backend* Select(const InFlightRequest& request, double now_s, Candidates candidates = Candidates::kAll);

 private:
  // Returns whether ejected backends are excluded. They are not if too many backends are ejected.
  bool MayExcludeEjected(double now_s) const;
  // Checks all conditions but ejection. Refills the slow start budget of a backend that is warming up.
  bool IsUsable(const InFlightRequest& request, Backend* backend, double now_s) const;
  double Cost(const InFlightRequest& request, const Backend& backend) const;

  const int zone_;  // zone of this gateway
  const RetryPolicy& retry_policy_;
  EndpointSet& endpoints_;
  SlowStart& slow_start_;
  RandomSource& random_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_SELECTOR_H_
