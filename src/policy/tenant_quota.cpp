#include "policy/tenant_quota.h"

#include <algorithm>
#include <cmath>

namespace gateway::policy {
namespace {

// Share of the tokens left, over the ingress gateways, that may be forwarded without a report.
constexpr double kReportBatchShare = 0.25;
// Unreported units are reported after this many windows, however few they are.
constexpr double kMaxReportAgeWindows = 0.25;
// Share of a ceiling's slack that is used; the rest covers rounding.
constexpr double kCeilingSlackShare = 0.95;
// While the counter is silent a gateway has at least this share of an even part, quota over ingress gateways,
// so that traffic which moves here finds some quota.
constexpr double kMinSilentShare = 0.5;
// Windows over which the rates of use are averaged.
constexpr double kRateAveragingWindows = 0.5;
// Totals are of single precision: what is smaller than this is rounding.
constexpr double kTotalRoundingUnits = 1e-3;
// Shortest time between two reads that a rate is computed from.
constexpr double kMinRateSpanS = 1e-3;
// The normal distribution's cumulative function is close to a logistic one with this slope.
constexpr double kLogisticSlope = 1.7;
// Variance of what others use, as a share of (largest request x their rate x age), and its floor.
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
      // Nothing tells a gateway that starts what was spent of the ceiling before, so its part fills from zero
      // since the start. Guards against an overrun after restarts, and where the counter forgets.
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
  // Others are assumed to go on as last known until the counter tells more. This also holds this gateway to
  // its part of the quota while the counter is silent, stuck or new.
  bucket_.Refill(plan_->rate_units_per_s - AssumedOthersRate(counter_is_silent), elapsed_s,
                 plan_->burst_units);
  int64_t window = WindowAt(now_s);
  if (window != window_) StartWindow(window, counter_is_silent);
}

void TenantQuota::StartWindow(int64_t window, bool counter_is_silent) {
  double refilled_units =
      plan_->rate_units_per_s * WindowSeconds(*plan_) * static_cast<double>(window - window_);
  double overspent_units = spent_units_ - refilled_units;
  // After a gap of more than one window, what others have used since is not known, and the counter has to be
  // read again. While it is silent that cannot be done, so what was known stands.
  bool others_usage_lost = window > window_ + 1 && ingress_gateways_ > 1 && !counter_is_silent;
  spent_units_ = others_usage_lost ? 0 : std::clamp(overspent_units, 0.0, plan_->burst_units);
  starting_deficit_units_ = spent_units_;
  if (others_usage_lost) others_usage_known_ = false;
  window_ = window;
  // Units kept back over a long silence are not paid back for more than one burst.
  unreported_units_ = std::min(unreported_units_, plan_->burst_units);
  last_total_units_ = 0;
}

// While the counter is silent, this gateway keeps to its part of the use as last known. Guards against a rise
// of traffic everywhere, of which each gateway alone would pass what the others left unused before.
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
  if (!others_usage_known_ && charged_while_unknown_units_ > 0 &&
      charged_while_unknown_units_ + units > own_part)
    return false;
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
  if (!others_usage_known_) charged_while_unknown_units_ += units;
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
    // Totals hardly fall within a window, so the counter has lost its state. Guards against counters that are
    // emptied or restarted: what was known stands, and bucket and window go on from it.
    result.counter_lost_state = true;
    return result;
  }
  // The first report of a window also adds the starting deficit, for the gateways that see the tenant too
  // seldom to know it. Where the first reporter does not know it either, it reads the window before; where
  // that fails too, a full store is assumed.
  bool first =
      others_units < kTotalRoundingUnits && total > 0 && total - reported_units < kTotalRoundingUnits;
  if (first && others_usage_known_) unreported_units_ += starting_deficit_units_;
  result.first_of_unknown_window = first && !others_usage_known_;
  others_units = std::max(0.0, others_units);
  // The total may contain the deficit that another gateway has added. What is known of it here is counted
  // already.
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
  // A window's rate x length is one burst: what its total has beyond that was taken from the store.
  Charge(std::clamp(total - plan_->burst_units, 0.0, plan_->burst_units));
}

}  // namespace gateway::policy
