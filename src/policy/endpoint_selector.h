// The choice of a backend for an attempt.
#ifndef GATEWAY_POLICY_ENDPOINT_SELECTOR_H_
#define GATEWAY_POLICY_ENDPOINT_SELECTOR_H_

#include "policy/endpoint_set.h"
#include "policy/in_flight_request.h"
#include "policy/random_source.h"
#include "policy/retry_policy.h"
#include "policy/settings.h"
#include "policy/slow_start.h"

namespace gateway::policy {

// Rule: of the backends that may be used, the one with the least expected latency: relative latency x (own
// attempts in flight + 1), raised for failures, for another zone, and most for a backend that has had an
// attempt of this request already. Ties are broken at random. A backend that warms up and has budget left
// goes first.
//
// A backend may be used if it is ready and not ejected, has no attempt in flight while it is on probation,
// has room under its concurrency limit, is allowed work by slow start, and is allowed by RetryPolicy for this
// request.
class EndpointSelector {
 public:
  enum class Candidates { kAll, kWarmingUp };

  // The references must outlive this.
  EndpointSelector(const Settings& settings, const RetryPolicy& retry_policy, EndpointSet* endpoints,
                   SlowStart* slow_start, RandomSource* random)
      : zone_(settings.zone),
        retry_policy_(retry_policy),
        endpoints_(*endpoints),
        slow_start_(*slow_start),
        random_(*random) {}

  // Returns null where no backend may be used. Draws a random number for each candidate.
  Backend* Select(const InFlightRequest& request, double now_s, Candidates candidates = Candidates::kAll);

 private:
  // Whether ejected backends are left out: not where too many are.
  bool MayExcludeEjected(double now_s) const;
  // Of a backend that is not left out as ejected. Refills the budget of one that warms up.
  bool IsUsable(const InFlightRequest& request, Backend* backend, double now_s) const;
  double Cost(const InFlightRequest& request, const Backend& backend) const;

  const int zone_;  // of this gateway
  const RetryPolicy& retry_policy_;
  EndpointSet& endpoints_;
  SlowStart& slow_start_;
  RandomSource& random_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_SELECTOR_H_
