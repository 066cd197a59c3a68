#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

namespace gateway::policy {
namespace {

// Share of Settings::overload_multiple that all gateways together may send to a backend with one core.
constexpr double kOverloadMultipleShare = 0.4;
// Share of the work of a warmed-up backend on which the budget of a warming-up backend is based.
constexpr double kWarmWorkShare = 0.8;
// Time constant of the exponential decay of the work of a warmed-up backend.
constexpr double kWarmWorkDecayS = 2;
// Unused budget accumulates at most to the amount that is refilled in this time.
constexpr double kMaxUnusedBudgetS = 0.3;
// If a connection fails and the last response is longer ago than this, the process is taken to be down.
constexpr double kUnreachableAfterS = 1.5;
// Lower bound of the slow start duration, by which the elapsed time is divided.
constexpr double kMinDurationS = 1e-3;

}  // namespace

void SlowStart::Begin(WarmUp* backend, double started_at_s, double now_s) {
  backend->started_at_s_ = started_at_s;
  backend->refilled_at_s_ = now_s;
  backend->budget_s_ = -random_.Uniform() * estimator_.MaxMeanLatencyS();
}

bool SlowStart::BeginAfterRestart(WarmUp* backend, double started_at_s, double now_s) {
  if (now_s - started_at_s >= settings_.slow_start_duration_s) return false;
  Begin(backend, std::max(backend->started_at_s_, started_at_s), now_s);
  return true;
}

void SlowStart::BeginIfUnreachable(WarmUp* backend, double last_response_at_s, double now_s) {
  if (now_s - last_response_at_s > kUnreachableAfterS) Begin(backend, now_s, now_s);
}

bool SlowStart::RefillAndCheckBudget(WarmUp* backend, double now_s) const {
  double duration_s = std::max(kMinDurationS, settings_.slow_start_duration_s);
  double progress = std::max(0.0, now_s - backend->started_at_s_) / duration_s;
  if (progress >= 1) {
    backend->started_at_s_ = 0;
    return true;
  }
  double initial_fraction = settings_.slow_start_initial_fraction;
  double fraction = initial_fraction + (1 - initial_fraction) * progress;
  double one_core_work_per_s =
      settings_.overload_multiple * kOverloadMultipleShare / std::max(1, settings_.gateway_count);
  double warm_work_s = warm_work_s_ * std::exp(-(now_s - warm_work_updated_at_s_) / kWarmWorkDecayS);
  double work_per_s =
      fraction * std::max(one_core_work_per_s, kWarmWorkShare * warm_work_s / kWarmWorkDecayS);
  double refilled_s = backend->budget_s_ + work_per_s * (now_s - backend->refilled_at_s_);
  backend->budget_s_ = std::min(kMaxUnusedBudgetS * work_per_s, refilled_s);
  backend->refilled_at_s_ = now_s;
  return backend->budget_s_ > 0;
}

void SlowStart::RecordWarmResponse(const Request& request, double now_s) {
  double work_s = estimator_.ExpectedLatencyS(request) / std::max(1, warm_backend_count_);
  warm_work_s_ = warm_work_s_ * std::exp(-(now_s - warm_work_updated_at_s_) / kWarmWorkDecayS) + work_s;
  warm_work_updated_at_s_ = now_s;
}

}  // namespace gateway::policy
