#include "policy/outlier_detector.h"

#include <algorithm>

namespace gateway::policy {
namespace {

// Weights of one success and of one failure in the failure rate.
constexpr double kSuccessWeight = 0.1;
constexpr double kFailureWeight = 2 * kSuccessWeight;
// Consecutive failures give rates of 0.2, 0.36 and 0.488, so the third one exceeds this threshold.
constexpr double kEjectionThreshold = 0.48;
constexpr double kMinEjectionS = 0.5;
constexpr double kMaxEjectionS = 4.0;
// Failure rate below which the length of the next ejection is reset to the minimum.
constexpr double kHealthyFailureRate = 0.1;

}  // namespace

bool OutlierDetector::RecordFailure(double now_s) {
  failure_rate_ += kFailureWeight * (1 - failure_rate_);
  if (IsEjected(now_s)) return false;
  if (!on_probation_ && failure_rate_ <= kEjectionThreshold) return false;
  ejection_s_ = std::clamp(ejection_s_ * 2, kMinEjectionS, kMaxEjectionS);
  ejected_until_s_ = now_s + ejection_s_;
  on_probation_ = true;
  return true;
}

bool OutlierDetector::RecordSuccess() {
  failure_rate_ -= kSuccessWeight * failure_rate_;
  if (failure_rate_ < kHealthyFailureRate) ejection_s_ = 0;
  bool ended_probation = on_probation_;
  on_probation_ = false;
  return ended_probation;
}

}  // namespace gateway::policy
