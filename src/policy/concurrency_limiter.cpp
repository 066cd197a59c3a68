#include "policy/concurrency_limiter.h"

#include <algorithm>
#include <cmath>

namespace gateway::policy {
namespace {

constexpr double kMaxLimit = 200;
// Mean latency, as a share of the latency objective, below which no queue is assumed.
constexpr double kNoQueueLatencyShare = 0.2;
constexpr double kCutFactor = 0.7;
constexpr double kMinCutIntervalS = 0.1;
// Minimum weight of one response in the mean latency.
constexpr double kMinSampleWeight = 0.15;
// Time constant of the exponential decay of the mean latency. It gives a response a higher weight than the
// minimum when responses are rare.
constexpr double kMeanDecayS = 0.7;

}  // namespace

void ConcurrencyLimiter::RecordResponse(double latency_share, int attempts_in_flight, double now_s) {
  double weight = std::max(kMinSampleWeight, 1 - std::exp(-(now_s - last_response_at_s_) / kMeanDecayS));
  last_response_at_s_ = now_s;
  mean_latency_share_ += weight * (std::clamp(latency_share, 0.0, 2.0) - mean_latency_share_);
  if (mean_latency_share_ > kQueueLatencyShare) {
    Cut(attempts_in_flight, now_s);
  } else if (mean_latency_share_ < kNoQueueLatencyShare && attempts_in_flight + 1 >= limit_ / 2) {
    limit_ = std::min(kMaxLimit, limit_ + std::min(1.0, 1 / limit_));
  }
}

void ConcurrencyLimiter::Cut(int attempts_in_flight, double now_s) {
  if (now_s - last_cut_at_s_ < kMinCutIntervalS) return;
  last_cut_at_s_ = now_s;
  limit_ = std::max(1.0, std::min<double>(limit_, attempts_in_flight + 1) * kCutFactor);
}

}  // namespace gateway::policy
