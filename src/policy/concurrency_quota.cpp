#include "policy/concurrency_quota.h"

#include <cmath>

namespace gateway::policy {
namespace {

// The last total counts as exact while more than this share of its attempts is expected to be in flight
// still.
constexpr double kMinExactShare = 0.9;
// Time constant with which the weight moves from the last reply to the share of earlier requests that were
// within the cap.
constexpr double kReplyTrustDecayS = 1;
// Averaging time of the mean of the other gateways' attempts.
constexpr double kMeanAveragingS = 1;

}  // namespace

double ConcurrencyQuota::ProbabilityOfRoom(int cap, double attempt_s, double now_s) const {
  int free = cap - attempts_in_flight_;
  double still_in_flight = others_read_at_s_ < 0 ? 0 : std::exp(-(now_s - others_read_at_s_) / attempt_s);
  if (free <= 0 || still_in_flight > kMinExactShare) return free > others_attempts_ ? 1 : 0;
  double mean = still_in_flight * others_attempts_ + (1 - still_in_flight) * others_mean_attempts_;
  double term = std::exp(-mean);
  double sum = 0;
  for (int k = 0; k < free; ++k) {
    sum += term;
    term *= mean / (k + 1);
  }
  return sum;
}

double ConcurrencyQuota::ProbabilityWithinCap(int cap, double probability_of_room, double prior,
                                              bool counter_is_needed, bool counter_is_silent,
                                              double now_s) const {
  if (attempts_in_flight_ >= cap) return 0;
  double trust = 1;
  if (counter_is_needed) {
    if (others_read_at_s_ < 0) {
      trust = 0;
    } else if (!counter_is_silent) {
      trust = std::exp(-(now_s - others_read_at_s_) / kReplyTrustDecayS);
    }
  }
  return trust * probability_of_room + (1 - trust) * prior;
}

int64_t ConcurrencyQuota::AdvanceEpoch(double now_s) {
  auto epoch = static_cast<int64_t>(std::floor(now_s / kEpochS));
  if (epoch != epoch_) {
    epoch_ = epoch;
    reported_attempts_ = 0;
  }
  return epoch;
}

void ConcurrencyQuota::ApplyReported(int64_t epoch, double change) {
  if (epoch == epoch_) reported_attempts_ += change;
}

void ConcurrencyQuota::ApplyTotal(int64_t epoch, double total, double now_s) {
  if (epoch != epoch_) return;
  double weight = others_read_at_s_ < 0 ? 1 : 1 - std::exp(-(now_s - others_read_at_s_) / kMeanAveragingS);
  others_attempts_ = std::max(0.0, total - reported_attempts_);
  others_mean_attempts_ += weight * (others_attempts_ - others_mean_attempts_);
  others_read_at_s_ = now_s;
}

}  // namespace gateway::policy
