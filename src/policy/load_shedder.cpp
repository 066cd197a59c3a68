#include "policy/load_shedder.h"

#include <algorithm>
#include <cmath>

namespace gateway::policy {
namespace {

// Share of the concurrency limits that the least valuable class may use. It also bounds how much more
// strongly the admitted share affects that class.
constexpr double kMinLimitShare = 0.3;
// Share of its class's limit that a request beyond the quota may use.
constexpr double kBorrowedLimitShare = 0.5;
// Exponent of the admitted share for a request beyond the quota.
constexpr double kBorrowedExponent = 2;

// The admitted share does not fall below this, so that responses keep arriving and show when load has
// dropped.
constexpr double kMinAdmittedShare = 0.05;
// Each response multiplies the admitted share by exp(-step x relative error). The step is the time since the
// last response, at most kMaxAdjustmentIntervalS, divided by kAdjustmentS, so that the adjustment per second
// does not depend on the response rate. It is at least kMinStep.
constexpr double kAdjustmentS = 0.8;
constexpr double kMaxAdjustmentIntervalS = 1;
constexpr double kMinStep = 0.02;
constexpr double kMaxRelativeError = 2;
constexpr double kRecoveryPerS = 0.05;

// Latency share used for an outcome that has no latency, such as a rejection. Its relative error reaches
// kMaxRelativeError, the largest error.
constexpr double kOverloadLatencyShare = 1;

}  // namespace

LoadShedder::LoadShedder(const Settings& settings, const ServiceEstimator& estimator, RandomSource* random)
    : settings_(settings),
      estimator_(estimator),
      random_(*random),
      max_time_left_s_(settings.classes.size(), 0) {}

void LoadShedder::RecordArrival(const Request& request) {
  double& max_time_left_s = max_time_left_s_[static_cast<size_t>(request.request_class)];
  max_time_left_s = std::max(max_time_left_s, request.time_left_s);
}

void LoadShedder::RecordAttemptEnded(double now_s) {
  --attempts_in_flight_;
  last_outcome_at_s_ = now_s;
}

void LoadShedder::RecordLatency(double latency_share, double now_s) {
  double span_s = std::min(kMaxAdjustmentIntervalS, now_s - latency_recorded_at_s_);
  double step = std::max(kMinStep, span_s / kAdjustmentS);
  double error = latency_share / ConcurrencyLimiter::kQueueLatencyShare - 1;
  admitted_share_ *= std::exp(-step * std::clamp(error, -1.0, kMaxRelativeError));
  admitted_share_ = std::max(admitted_share_, kMinAdmittedShare);
  latency_recorded_at_s_ = now_s;
  Recover(now_s);
}

void LoadShedder::RecordRejection(double now_s) { RecordLatency(kOverloadLatencyShare, now_s); }

void LoadShedder::RecordDeadlineExceeded(double now_s) { RecordLatency(kOverloadLatencyShare, now_s); }

void LoadShedder::Recover(double now_s) {
  admitted_share_ = std::min(1.0, admitted_share_ + kRecoveryPerS * (now_s - recovered_at_s_));
  recovered_at_s_ = now_s;
}

double LoadShedder::RelativeValue(const Request& request) const {
  double max_value = 0;
  for (size_t i = 0; i < settings_.classes.size(); ++i) {
    max_value = std::max(max_value,
                         settings_.classes[i].priority_weight / estimator_.MeanLatencyS(static_cast<int>(i)));
  }
  const ClassSettings& request_class = settings_.ClassAt(request.request_class);
  double value = request_class.priority_weight / estimator_.MeanLatencyS(request.request_class);
  double relative = max_value > 0 ? value / max_value : 1;
  return IsLateRetry(request) ? relative * request_class.late_value_share : relative;
}

bool LoadShedder::IsLateRetry(const Request& request) const {
  const ClassSettings& request_class = settings_.ClassAt(request.request_class);
  double max_time_left_s = max_time_left_s_[static_cast<size_t>(request.request_class)];
  bool is_retry = request.time_left_s < max_time_left_s - settings_.timer_resolution_s;
  return is_retry && request_class.deadline_s - request.time_left_s > request_class.latency_objective_s;
}

bool LoadShedder::ShouldShed(const Request& request, bool borrowed, const EndpointSet& endpoints,
                             double now_s) {
  Recover(now_s);
  const ClassSettings& request_class = settings_.ClassAt(request.request_class);
  bool idle = attempts_in_flight_ == 0 && now_s - last_outcome_at_s_ > request_class.latency_objective_s;
  if (idle && !borrowed) return false;
  double limit_share = kMinLimitShare + (1 - kMinLimitShare) * RelativeValue(request);
  double exponent = (borrowed ? kBorrowedExponent : 1) / limit_share;
  double draw = random_.Uniform();
  if (admitted_share_ < 1 && draw > std::pow(admitted_share_, exponent)) return true;
  EndpointSet::Load load = endpoints.ReadyLoad();
  return load.in_flight >= load.limit * limit_share * (borrowed ? kBorrowedLimitShare : 1);
}

}  // namespace gateway::policy
