#include "policy/retry_policy.h"

#include <algorithm>

namespace gateway::policy {
namespace {

constexpr double kBudgetPerRequest = 0.1;
// A silent attempt is looked at after this share of the latency objective, and after so many times what it is
// expected to take: chance alone is rarer.
constexpr double kCheckObjectiveShare = 0.5;
constexpr double kCheckExpectedMultiple = 6;
// The last check is due so many timer resolutions before the deadline: a timer may fire one resolution late,
// and the final answer takes one to go out. A check counts as the last one resolution earlier, so that one
// which fires early is not set anew.
constexpr double kCheckMarginResolutions = 2;
constexpr double kOutOfTimeResolutions = kCheckMarginResolutions + 1;
constexpr double kDeduplicationMarginResolutions = 2;

}  // namespace

void RetryPolicy::RecordAdmission() { budget_ = std::min(kMaxBudget, budget_ + kBudgetPerRequest); }

bool RetryPolicy::EffectAllowsAttempt(const InFlightRequest& request, double now_s) const {
  const ClassSettings& request_class = ClassOf(request);
  if (static_cast<int>(request.attempts.size()) >= settings_.max_attempts) return false;
  if (!request.may_have_run || request_class.idempotency == Idempotency::kIdempotent) return true;
  if (request_class.idempotency == Idempotency::kNonIdempotent) return false;
  // What is sent now may leave only when its connection has come up.
  double window_end_s = request.first_run_sent_at_s + request_class.deduplication_window_s -
                        kDeduplicationMarginResolutions * settings_.timer_resolution_s;
  return now_s + settings_.connect_timeout_s < window_end_s;
}

bool RetryPolicy::MayRetry(const InFlightRequest& request, double now_s) const {
  if (!EffectAllowsAttempt(request, now_s) || budget_ < 1) return false;
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
  // A backend that hangs answers nobody, where a busy one would answer others meanwhile.
  const Attempt& last = request.attempts.back();
  if (!last.in_flight || backend == nullptr || !backend->IsSilentSince(last.sent_at_s)) return false;
  if (request.attempts_in_flight != 1 || budget_ < 1) return false;
  return ClassOf(request).idempotency == Idempotency::kIdempotent && EffectAllowsAttempt(request, now_s);
}

double RetryPolicy::CheckDelayS(const InFlightRequest& request, const Backend* backend, double now_s) const {
  double slowness = backend != nullptr ? std::max(1.0, backend->relative_latency) : 1;
  double expected_s = estimator_.ExpectedLatencyS(request.request) * slowness;
  double check_s = std::max(kCheckObjectiveShare * ClassOf(request).latency_objective_s,
                            kCheckExpectedMultiple * expected_s);
  double left_s = request.deadline_at_s - kCheckMarginResolutions * settings_.timer_resolution_s - now_s;
  return std::max(0.0, std::min(left_s, check_s));
}

bool RetryPolicy::IsOutOfTime(const InFlightRequest& request, double now_s) const {
  return now_s >= request.deadline_at_s - kOutOfTimeResolutions * settings_.timer_resolution_s;
}

bool RetryPolicy::IsOutOfRunningTime(const InFlightRequest& request, double running_s) const {
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
