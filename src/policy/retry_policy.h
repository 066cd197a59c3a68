// Whether, where and when a request gets a further attempt.
#ifndef GATEWAY_POLICY_RETRY_POLICY_H_
#define GATEWAY_POLICY_RETRY_POLICY_H_

#include "policy/endpoint_set.h"
#include "policy/in_flight_request.h"
#include "policy/service_estimator.h"
#include "policy/settings.h"

namespace gateway::policy {

// Rules:
// - A request gets at most Settings::max_attempts attempts.
// - After an attempt that may have run, an idempotent request may be retried anywhere. One with an
//   idempotency key may be retried only within the scope and the time in which backends drop the repeat. Any
//   other is not retried (RFC 9110, 9.2.2).
// - Retry budget: it starts full, each admitted request earns a tenth of a retry, and each retry or hedged
//   request takes one. So retries never multiply an overload. There is no backoff.
// - An idempotent request whose backend has answered nobody since the attempt was sent is hedged: it gets a
//   second attempt beside the first. Where the settings forbid that, the first is cancelled and then retried.
class RetryPolicy {
 public:
  // The references must outlive this.
  RetryPolicy(const Settings& settings, const ServiceEstimator& estimator)
      : settings_(settings), estimator_(estimator) {}

  void RecordAdmission();

  // Whether a retry is allowed by effect, budget and time left.
  bool MayRetry(const InFlightRequest& request, double now_s) const;
  void RecordRetry() { budget_ -= 1; }

  // Whether `endpoint` may get the next attempt: after one that may have run, backends that do not share its
  // memory of idempotency keys would run the request again.
  bool AllowsEndpoint(const InFlightRequest& request, const Endpoint& endpoint) const {
    return !request.may_have_run || SharesIdempotencyKeys(request, endpoint);
  }

  // Whether the last attempt's backend is silent, and the request may get another attempt for that reason.
  bool ShouldHedgeOrCancel(const InFlightRequest& request, const Backend* backend, double now_s) const;

  // Delay until the request is looked at next: its backend may be silent by then, or its time nearly over.
  // `backend`: of its last attempt, or null.
  double CheckDelayS(const InFlightRequest& request, const Backend* backend, double now_s) const;
  // Whether so little time is left that the final answer has to go out now, before the client gives up.
  bool IsOutOfTime(const InFlightRequest& request, double now_s) const;
  // The same by RunningClock.
  bool IsOutOfTimeByRunningClock(const InFlightRequest& request, double running_s) const;

  // Whether the final answer may promise that the request had no effect, or that repeating it has none.
  bool MayReject(const InFlightRequest& request) const;

 private:
  static constexpr double kMaxBudget = 20;

  const ClassSettings& ClassOf(const InFlightRequest& request) const {
    return settings_.ClassAt(request.request.request_class);
  }
  bool SharesIdempotencyKeys(const InFlightRequest& request, const Endpoint& endpoint) const;
  bool EffectAllowsAttempt(const InFlightRequest& request, double now_s) const;

  const Settings& settings_;
  const ServiceEstimator& estimator_;
  double budget_ = kMaxBudget;  // retries
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RETRY_POLICY_H_
