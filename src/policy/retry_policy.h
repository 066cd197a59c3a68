// Decides whether a request gets another attempt, at which endpoints, and when.
#ifndef GATEWAY_POLICY_RETRY_POLICY_H_
#define GATEWAY_POLICY_RETRY_POLICY_H_

#include "policy/endpoint_set.h"
#include "policy/in_flight_request.h"
#include "policy/service_estimator.h"
#include "policy/settings.h"

namespace gateway::policy {

// Rules for retries and hedging:
// - A request gets at most Settings::max_attempts attempts.
// - After an attempt that a backend may have run, an idempotent request may be retried at any backend. A
//   request with an idempotency key may be retried only within the scope and the window in which backends
//   drop duplicates. Other requests are not retried (RFC 9110, 9.2.2).
// - The retry budget starts full. Each admitted request adds a tenth of a retry, and each retry or hedged
//   attempt takes one. Retries therefore cannot multiply an overload, and are sent without backoff.
// - An idempotent request is hedged, which means that it gets a second, concurrent attempt, if its backend
//   has answered no request at all between the start of the first attempt and its check (see CheckDelayS).
//   If the settings allow cancellation but not hedging, the first attempt is cancelled and then retried.
class RetryPolicy {
 public:
  // The arguments must outlive this object.
  RetryPolicy(const Settings& settings, const ServiceEstimator& estimator)
      : settings_(settings), estimator_(estimator) {}

  // Adds the share of an admitted request to the retry budget.
  void RecordAdmission();

  // Returns whether idempotency, the attempt limit, the retry budget and the time left allow a retry.
  bool MayRetry(const InFlightRequest& request, double now_s) const;
  // Takes a retry or a hedged attempt from the retry budget.
  void RecordRetry() { retry_budget_ -= 1; }

  // Returns whether `endpoint` may get the next attempt. After an attempt that may have run, a backend that
  // does not know the idempotency key from that attempt would run the request a second time.
  bool AllowsEndpoint(const InFlightRequest& request, const Endpoint& endpoint) const {
    return !request.may_have_run || SharesIdempotencyKeys(request, endpoint);
  }

  // Returns whether the backend of the last attempt is silent and the request may get another attempt for
  // that reason. `backend` is the backend of the last attempt, or null.
  bool ShouldHedgeOrCancel(const InFlightRequest& request, const Backend* backend, double now_s) const;

  // Returns the delay until the next check of the request, for a silent backend or an imminent deadline.
  // `backend` is the backend of the last attempt, or null.
  double CheckDelayS(const InFlightRequest& request, const Backend* backend, double now_s) const;
  // Returns whether the final response must be sent now to arrive before the client gives up.
  bool IsOutOfTime(const InFlightRequest& request, double now_s) const;
  // Same as IsOutOfTime, but by RunningClock, which excludes the time in which this process was stalled.
  bool IsOutOfTimeByRunningClock(const InFlightRequest& request, double running_s) const;

  // Returns whether the final response may be a rejection. A rejection promises that the request had no
  // effect, or that repeating it has none.
  bool MayReject(const InFlightRequest& request) const;

 private:
  static constexpr double kMaxRetryBudget = 20;

  const ClassSettings& ClassOf(const InFlightRequest& request) const {
    return settings_.ClassAt(request.request.request_class);
  }
  // Returns whether `endpoint` knows the idempotency key from the attempt that may have run. Always true for
  // an idempotent request, for which this does not matter.
  bool SharesIdempotencyKeys(const InFlightRequest& request, const Endpoint& endpoint) const;
  // Returns whether idempotency and the attempt limit allow another attempt.
  bool AllowsAnotherAttempt(const InFlightRequest& request, double now_s) const;

  const Settings& settings_;
  const ServiceEstimator& estimator_;
  double retry_budget_ = kMaxRetryBudget;  // number of retries
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RETRY_POLICY_H_
