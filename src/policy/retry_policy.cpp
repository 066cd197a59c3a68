#include "policy/retry_policy.h"

#include <algorithm>

namespace gateway::policy {
namespace {

constexpr double kRetryBudgetPerRequest = 0.1;
// A request is checked for a silent backend after this share of its latency objective, but not before this
// multiple of its expected latency: latencies that exceed both are rarely due to chance.
constexpr double kCheckObjectiveShare = 0.5;
constexpr double kCheckExpectedLatencyMultiple = 6;
// The last check is due this many timer resolutions before the deadline: a timer may fire one resolution
// late, and sending the final response takes another one. A check that runs up to one resolution earlier
// already counts as the last one, so that a timer which fires early is not started again.
constexpr double kCheckMarginResolutions = 2;
constexpr double kOutOfTimeResolutions = kCheckMarginResolutions + 1;
// A request is not sent again in this many timer resolutions before the end of its deduplication window.
constexpr double kDeduplicationMarginResolutions = 2;

}  // namespace

void RetryPolicy::RecordAdmission() {
  retry_budget_ = std::min(kMaxRetryBudget, retry_budget_ + kRetryBudgetPerRequest);
}

bool RetryPolicy::AllowsAnotherAttempt(const InFlightRequest& request, double now_s) const {
  const ClassSettings& request_class = ClassOf(request);
  if (static_cast<int>(request.attempts.size()) >= settings_.max_attempts) return false;
  if (!request.may_have_run || request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kNonIdempotent) return false;
  // The attempt may have to wait for a new connection, so it may be sent as late as one connect timeout from
  // now.
  double window_end_s = request.first_run_sent_at_s + request_class.deduplication_window_s -
                        kDeduplicationMarginResolutions * settings_.timer_resolution_s;
  return now_s + settings_.connect_timeout_s < window_end_s;
}

bool RetryPolicy::MayRetry(const InFlightRequest& request, double now_s) const {
  if (!AllowsAnotherAttempt(request, now_s) || retry_budget_ < 1) return false;
  return request.deadline_at_s - now_s >= estimator_.ExpectedLatencyS(request.request);
}

bool RetryPolicy::SharesIdempotencyKeys(const InFlightRequest& request, const Endpoint& endpoint) const {
  const ClassSettings& request_class = ClassOf(request);
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  switch (request_class.deduplication_scope) {
    case DeduplicationScope::kAll: return true;
    case DeduplicationScope::kZone: return endpoint.zone == request.run_zone;
    case DeduplicationScope::kCell: return endpoint.cell == request.run_cell;
  }
  return false;
}

bool RetryPolicy::ShouldHedgeOrCancel(const InFlightRequest& request, const Backend* backend,
                                      double now_s) const {
  // A backend that hangs answers no request at all. A busy one still answers other requests.
  const Attempt& last = request.attempts.back();
  if (!last.in_flight || backend == nullptr || !backend->IsSilentTo(last)) return false;
  if (request.attempts_in_flight != 1 || retry_budget_ < 1) return false;
  return ClassOf(request).idempotency == Idempotency::kIdempotent && AllowsAnotherAttempt(request, now_s);
}

double RetryPolicy::CheckDelayS(const InFlightRequest& request, const Backend* backend, double now_s) const {
  double latency_factor = backend != nullptr ? std::max(1.0, backend->relative_latency) : 1;
  double expected_s = estimator_.ExpectedLatencyS(request.request) * latency_factor;
  double check_s = std::max(kCheckObjectiveShare * ClassOf(request).latency_objective_s,
                            kCheckExpectedLatencyMultiple * expected_s);
  double last_check_delay_s =
      request.deadline_at_s - kCheckMarginResolutions * settings_.timer_resolution_s - now_s;
  return std::max(0.0, std::min(last_check_delay_s, check_s));
}

bool RetryPolicy::IsOutOfTime(const InFlightRequest& request, double now_s) const {
  return now_s >= request.deadline_at_s - kOutOfTimeResolutions * settings_.timer_resolution_s;
}

bool RetryPolicy::IsOutOfTimeByRunningClock(const InFlightRequest& request, double running_s) const {
  return running_s >= request.deadline_at_running_s - kOutOfTimeResolutions * settings_.timer_resolution_s;
}

bool RetryPolicy::MayReject(const InFlightRequest& request) const {
  const ClassSettings& request_class = ClassOf(request);
  if (request_class.idempotency == Idempotency::kIdempotent) return true;
  if (!request.may_have_run && request.attempts_in_flight == 0) return true;
  return request_class.idempotency == Idempotency::kIdempotencyKey &&
         request_class.deduplication_scope == DeduplicationScope::kAll;
}

}  // namespace gateway::policy
