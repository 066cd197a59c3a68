#include "policy/tenant_quota.h"

#include <algorithm>
#include <cmath>

namespace gateway::policy {
namespace {

// A report is due when the unreported units reach this share of the tokens left per ingress gateway.
constexpr double kReportBatchShare = 0.25;
// Unreported units are due for a report this many windows after the last total, however few they are.
constexpr double kMaxReportAgeWindows = 0.25;
// Share of a ceiling's slack that is used. The rest covers rounding errors.
constexpr double kCeilingSlackShare = 0.95;
// While the counter is silent, a gateway may use at least this share of an even split of the quota among the
// ingress gateways, so that traffic that moves to this gateway finds some quota.
constexpr double kMinSilentShare = 0.5;
// Averaging time of the rates of use, in windows.
constexpr double kRateAveragingWindows = 0.5;
// Totals have single precision. Differences smaller than this are rounding errors.
constexpr double kTotalRoundingUnits = 1e-3;
// Lower bound of the time between two reads when a rate is computed from them.
constexpr double kMinRateSpanS = 1e-3;
// A logistic function with this slope approximates the normal cumulative distribution function.
constexpr double kLogisticSlope = 1.7;
// Variance of the units that other gateways use, as a share of (largest request x their rate x age), and the
// constant that is added to it.
constexpr double kUsageVarianceShare = 0.5;
constexpr double kUsageVarianceFloor = 0.01;

}  // namespace

TenantQuota::TenantQuota(const PlanSettings& plan, double ingress_gateways, double gateway_started_at_s,
                         double now_s)
    : plan_(&plan),
      ingress_gateways_(ingress_gateways),
      created_at_s_(now_s),
      refilled_at_s_(now_s),
      bucket_(plan.burst_units),
      // A starting gateway cannot know how much of the ceiling was spent before, so its part fills from zero
      // from the gateway's start. This prevents an overrun after restarts and if the counter loses its state.
      ceiling_(std::min(CeilingCapacity(),
                        plan.ceiling_rate_units_per_s / ingress_gateways * (now_s - gateway_started_at_s))),
      others_rate_units_per_s_(plan.rate_units_per_s * (ingress_gateways - 1) / ingress_gateways) {
  if (HasRateQuota()) window_ = WindowAt(now_s);
}

int64_t TenantQuota::WindowAt(double now_s) const {
  return static_cast<int64_t>(std::floor(now_s / WindowSeconds(*plan_)));
}

double TenantQuota::CeilingCapacity() const {
  return (plan_->ceiling_burst_units + kCeilingSlackShare * plan_->ceiling_slack_units) / ingress_gateways_;
}

void TenantQuota::Refill(double now_s, bool counter_is_silent) {
  double elapsed_s = now_s - refilled_at_s_;
  if (elapsed_s <= 0) return;
  refilled_at_s_ = now_s;
  ceiling_.Refill(plan_->ceiling_rate_units_per_s / ingress_gateways_, elapsed_s, CeilingCapacity());
  if (!HasRateQuota()) return;
  // The other gateways are assumed to continue at their last known rate until the next total. This also keeps
  // this gateway to its part of the quota while the counter is silent, stuck or not called yet.
  bucket_.Refill(plan_->rate_units_per_s - AssumedOthersRate(counter_is_silent), elapsed_s,
                 plan_->burst_units);
  int64_t window = WindowAt(now_s);
  if (window != window_) StartWindow(window, counter_is_silent);
}

void TenantQuota::StartWindow(int64_t window, bool counter_is_silent) {
  double refilled_units =
      plan_->rate_units_per_s * WindowSeconds(*plan_) * static_cast<double>(window - window_);
  double overspent_units = spent_units_ - refilled_units;
  // After a gap of more than one window, the usage of the other gateways is unknown and the counter has to be
  // read again. That is impossible while it is silent, so the last known usage is kept.
  bool others_usage_lost = window > window_ + 1 && ingress_gateways_ > 1 && !counter_is_silent;
  spent_units_ = others_usage_lost ? 0 : std::clamp(overspent_units, 0.0, plan_->burst_units);
  starting_deficit_units_ = spent_units_;
  if (others_usage_lost) others_usage_known_ = false;
  window_ = window;
  // At most one burst of the units that stayed unreported during a long silence is reported later.
  unreported_units_ = std::min(unreported_units_, plan_->burst_units);
  last_total_units_ = 0;
}

// While the counter is silent, this gateway is limited to its last known share of the usage. Otherwise, when
// traffic rises at all gateways, each of them would admit all units that the others left unused before.
double TenantQuota::AssumedOthersRate(bool counter_is_silent) const {
  double all_rate = own_rate_units_per_s_ + others_rate_units_per_s_;
  if (!counter_is_silent || !others_usage_known_ || all_rate <= 0) return others_rate_units_per_s_;
  double own_part = std::max(own_rate_units_per_s_ / all_rate, kMinSilentShare / ingress_gateways_);
  return std::max(others_rate_units_per_s_, plan_->rate_units_per_s * (1 - own_part));
}

bool TenantQuota::HasRoom(double units, double now_s) const {
  if (bucket_.tokens() < units) return false;
  double own_part =
      (plan_->burst_units + plan_->rate_units_per_s * (now_s - created_at_s_)) / ingress_gateways_;
  if (!others_usage_known_ && unverified_units_ > 0 && unverified_units_ + units > own_part) return false;
  double window_units = plan_->burst_units + plan_->rate_units_per_s * WindowSeconds(*plan_);
  return !(spent_units_ + units > window_units);
}

double TenantQuota::ProbabilityOfRoom(double units, double now_s, double prior, double max_request_units,
                                      bool counter_is_silent) const {
  double age_s = now_s - total_read_at_s_;
  double trust = 0;
  if (others_usage_known_) trust = counter_is_silent ? 1 : std::exp(-age_s / WindowSeconds(*plan_));
  double deviation_units = std::sqrt(kUsageVarianceFloor + kUsageVarianceShare * max_request_units *
                                                               others_rate_units_per_s_ * age_s);
  double score = (bucket_.tokens() - units) / deviation_units;
  return trust / (1 + std::exp(-kLogisticSlope * score)) + (1 - trust) * prior;
}

void TenantQuota::ChargeCeiling(double units) {
  if (plan_->ceiling_rate_units_per_s > 0) ceiling_.Charge(units, CeilingCapacity());
}

void TenantQuota::Charge(double units) {
  bucket_.Charge(units, plan_->burst_units);
  spent_units_ += units;
  unreported_units_ += units;
  if (!others_usage_known_) unverified_units_ += units;
}

bool TenantQuota::IsReportDue(double now_s) const {
  double tokens_left = std::max(0.0, bucket_.tokens());
  double batch_units = std::max(1.0, kReportBatchShare * tokens_left / ingress_gateways_);
  if (std::fabs(unreported_units_) >= batch_units) return true;
  double age_s = now_s - total_read_at_s_;
  return unreported_units_ > 0 && age_s > kMaxReportAgeWindows * WindowSeconds(*plan_);
}

TenantQuota::TotalResult TenantQuota::ApplyTotal(double reported_units, double total, double now_s,
                                                 double max_request_units) {
  TotalResult result;
  double in_window_s = now_s - static_cast<double>(window_) * WindowSeconds(*plan_);
  double others_units = total - last_total_units_ - reported_units;
  double elapsed_s = now_s - total_read_at_s_;
  total_read_at_s_ = now_s;
  last_total_units_ = total;
  if (others_units < -max_request_units) {
    // A total does not fall by this much within a window, so the counter was cleared or restarted. The last
    // known usage is kept, and bucket and window continue from it.
    result.counter_lost_state = true;
    return result;
  }
  // The gateway with the first report of a window also reports the starting deficit, for gateways that see
  // the tenant too rarely to know it. If the first reporter does not know it either, it reads the total of
  // the previous window. If that fails too, a full store is assumed.
  bool first =
      others_units < kTotalRoundingUnits && total > 0 && total - reported_units < kTotalRoundingUnits;
  if (first && others_usage_known_) unreported_units_ += starting_deficit_units_;
  result.first_of_unknown_window = first && !others_usage_known_;
  others_units = std::max(0.0, others_units);
  // The total may include the starting deficit, reported by another gateway. The part known here is already
  // counted in the spent units.
  others_units -= std::min(starting_deficit_units_, others_units);
  starting_deficit_units_ = 0;
  spent_units_ += others_units;
  UpdateRates(reported_units, others_units, elapsed_s, in_window_s);
  bucket_.Reset(std::min(plan_->burst_units,
                         plan_->burst_units + plan_->rate_units_per_s * in_window_s - spent_units_));
  others_usage_known_ = true;
  return result;
}

void TenantQuota::UpdateRates(double reported_units, double others_units, double elapsed_s,
                              double in_window_s) {
  double averaging_s = kRateAveragingWindows * WindowSeconds(*plan_);
  double weight = others_usage_known_ ? 1 - std::exp(-elapsed_s / averaging_s) : 1;
  double span_s =
      others_usage_known_ ? std::max(elapsed_s, kMinRateSpanS) : std::max(in_window_s, averaging_s);
  double others_rate = std::min(2 * plan_->rate_units_per_s, others_units / span_s);
  others_rate_units_per_s_ += weight * (others_rate - others_rate_units_per_s_);
  others_rate_units_per_s_ = std::min(others_rate_units_per_s_, plan_->rate_units_per_s);
  own_rate_units_per_s_ += weight * (std::max(0.0, reported_units) / span_s - own_rate_units_per_s_);
}

void TenantQuota::ApplyPreviousTotal(double total) {
  // The rate adds one burst during a window. Units beyond that were taken from the window's store.
  Charge(std::clamp(total - plan_->burst_units, 0.0, plan_->burst_units));
}

}  // namespace gateway::policy
