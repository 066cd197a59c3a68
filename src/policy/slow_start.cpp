#include "policy/slow_start.h"

#include <algorithm>
#include <cmath>

namespace gateway::policy {
namespace {

// Share of the settings' overload multiple that all gateways together use.
constexpr double kOverloadMultipleShare = 0.4;
// Share of what a warmed-up backend serves that counts for one that warms up.
constexpr double kWarmWorkShare = 0.8;
constexpr double kWarmWorkDecayS = 2;
// Unused budget is kept for so long.
constexpr double kMaxSavedS = 0.3;
// Without an answer for so long, a failed connection means that the process is down.
constexpr double kUnreachableS = 1.5;
constexpr double kMinDurationS = 1e-3;

}  // namespace

void SlowStart::Begin(WarmUp* backend, double since_s, double now_s) {
  backend->since_s_ = since_s;
  backend->updated_s_ = now_s;
  backend->budget_s_ = -random_.Uniform() * estimator_.MaxMeanLatencyS();
}

bool SlowStart::BeginAfterRestart(WarmUp* backend, double started_s, double now_s) {
  if (now_s - started_s >= settings_.slow_start_duration_s) return false;
  Begin(backend, std::max(backend->since_s_, started_s), now_s);
  return true;
}

void SlowStart::BeginIfUnreachable(WarmUp* backend, double last_response_s, double now_s) {
  if (now_s - last_response_s > kUnreachableS) Begin(backend, now_s, now_s);
}

bool SlowStart::RefillAndCheckBudget(WarmUp* backend, double now_s) const {
  double duration_s = std::max(kMinDurationS, settings_.slow_start_duration_s);
  double progress = std::max(0.0, now_s - backend->since_s_) / duration_s;
  if (progress >= 1) {
    backend->since_s_ = 0;
    return true;
  }
  double initial = settings_.slow_start_initial_fraction;
  double fraction = initial + (1 - initial) * progress;
  double one_core_part =
      settings_.overload_multiple * kOverloadMultipleShare / std::max(1, settings_.gateway_count);
  double warm_work_s = warm_work_s_ * std::exp(-(now_s - warm_updated_s_) / kWarmWorkDecayS);
  double work_per_s = fraction * std::max(one_core_part, kWarmWorkShare * warm_work_s / kWarmWorkDecayS);
  double refilled_s = backend->budget_s_ + work_per_s * (now_s - backend->updated_s_);
  backend->budget_s_ = std::min(kMaxSavedS * work_per_s, refilled_s);
  backend->updated_s_ = now_s;
  return backend->budget_s_ > 0;
}

void SlowStart::RecordWarmResponse(const Request& request, double now_s) {
  double work_s = estimator_.ExpectedLatencyS(request) / std::max(1, warm_backends_);
  warm_work_s_ = warm_work_s_ * std::exp(-(now_s - warm_updated_s_) / kWarmWorkDecayS) + work_s;
  warm_updated_s_ = now_s;
}

}  // namespace gateway::policy
