// Rate quota of one tenant, shared by all gateways through the counter.
#ifndef GATEWAY_POLICY_TENANT_QUOTA_H_
#define GATEWAY_POLICY_TENANT_QUOTA_H_

#include <cstdint>

#include "policy/settings.h"
#include "policy/token_bucket.h"

namespace gateway::policy {

// Net loss of admitting a request beyond the quota (penalty minus earnings), as a share of its value.
inline double OverQuotaLoss(const PlanSettings& plan) {
  return plan.over_quota_penalty - plan.excess_value_share;
}

// Whether a request beyond the quota earns more than its penalty, so that a tenant may borrow spare capacity.
inline bool AllowsBorrowing(const PlanSettings& plan) {
  return plan.excess_value_share > plan.over_quota_penalty;
}

// Length of one counter window, which is the time in which the rate refills the burst.
inline double WindowSeconds(const PlanSettings& plan) { return plan.burst_units / plan.rate_units_per_s; }

// Rule (DESIGN): time is divided into windows in which the quota's rate adds one burst. A window starts with
// a store of units, at most one burst. All gateways together may forward the store plus what the rate adds
// during the window. Units left over become the next window's store, and overspent units are subtracted from
// it.
//
// The store is represented by its deficit, burst - store. The spent units are the deficit at the window's
// start plus all units of this window that are known here: charges of this gateway, and those of the other
// gateways from the counter's totals.
//
// Invariants: tokens never exceed the burst. Units charged here are reported to the counter exactly once, or
// kept as unreported, of which at most one burst outlasts a window.
//
// While the counter has not replied yet, or no longer replies, the other gateways are assumed to continue at
// their last known rate, so this gateway stays within its own part of the quota.
class TenantQuota {
 public:
  // Findings from a total of the counter.
  struct TotalResult {
    bool counter_lost_state = false;       // the total fell, so no usage was derived from it
    bool first_of_unknown_window = false;  // first report of a window whose starting deficit is unknown
  };

  // `ingress_gateways` is the number of gateways that receive the tenant's requests, at least 1. The plan
  // must outlive this object.
  TenantQuota(const PlanSettings& plan, double ingress_gateways, double gateway_started_at_s, double now_s);

  const PlanSettings& plan() const { return *plan_; }
  double ingress_gateways() const { return ingress_gateways_; }
  double created_at_s() const { return created_at_s_; }
  bool HasRateQuota() const { return plan_->rate_units_per_s > 0; }
  bool HasConcurrencyCap() const { return plan_->max_concurrent_attempts > 0; }
  bool HasSingleGateway() const { return ingress_gateways_ < 2; }
  double tokens() const { return bucket_.tokens(); }
  double unreported_units() const { return unreported_units_; }
  int64_t window() const { return window_; }
  // Whether the usage of the other gateways is known: a total was read, and no window was skipped since then,
  // other than while the counter was silent.
  bool IsOthersUsageKnown() const { return others_usage_known_; }

  // Advances buckets and window to `now_s`. It must be called before any other method is called for a new
  // time.
  void Refill(double now_s, bool counter_is_silent);

  // Whether the tokens and the window cover `units`. While the usage of the other gateways is unknown, this
  // gateway's part of the quota must cover them too, unless nothing has been charged in that state yet.
  bool HasRoom(double units, double now_s) const;

  // Probability in [0, 1] that the fleet-wide quota covers `units`, for tenants with several ingress
  // gateways. As the last total ages, its weight falls and that of `prior` rises, the share of such requests
  // that proved to be within the quota. While the counter is silent, the last total keeps its full weight.
  double ProbabilityOfRoom(double units, double now_s, double prior, double max_request_units,
                           bool counter_is_silent) const;

  // The ceiling is a hard limit in addition to the quota. It is split evenly among the ingress gateways.
  bool CeilingAllows(double units) const {
    return plan_->ceiling_rate_units_per_s <= 0 || ceiling_.tokens() >= units;
  }
  void ChargeCeiling(double units);

  // Charges `units` for a forwarded request. Negative units are given back.
  void Charge(double units);

  // Adds units to the next report without charging them: the correction for a sampled request
  // (counter_schedule.h), or units whose report certainly did not reach the counter's total.
  void AddUnreported(double units) { unreported_units_ += units; }

  // Whether the unreported units are numerous or old enough for a call.
  bool IsReportDue(double now_s) const;
  // Records that a call has taken over the unreported units.
  void MarkReported() { unreported_units_ = 0; }

  // Applies a total of the current window, which includes the report of `reported_units`.
  TotalResult ApplyTotal(double reported_units, double total, double now_s, double max_request_units);
  // Applies the total of the previous window: charges the units by which it exceeded one burst.
  void ApplyPreviousTotal(double total);

 private:
  int64_t WindowAt(double now_s) const;
  double CeilingCapacity() const;
  void StartWindow(int64_t window, bool counter_is_silent);
  double AssumedOthersRate(bool counter_is_silent) const;
  void UpdateRates(double reported_units, double others_units, double elapsed_s, double in_window_s);

  const PlanSettings* plan_;
  double ingress_gateways_;
  double created_at_s_;
  double refilled_at_s_;
  TokenBucket bucket_;                  // reduced by own charges and by the known usage of other gateways
  TokenBucket ceiling_;                 // this gateway's part of the ceiling
  double others_rate_units_per_s_ = 0;  // last known rate of the other gateways
  double own_rate_units_per_s_ = 0;     // rate of this gateway, from its reports
  int64_t window_ = 0;                  // index of the current window
  // Deficit at the start of this window. It is 0 after the window's first total, since later totals include
  // it.
  double starting_deficit_units_ = 0;
  double spent_units_ = 0;       // starting deficit plus known usage of this window
  double last_total_units_ = 0;  // last total read in this window
  double total_read_at_s_ = 0;   // time of that read
  double unreported_units_ = 0;  // charged here and not yet reported to the counter
  double unverified_units_ = 0;  // charged here while the others' usage was unknown
  bool others_usage_known_ = false;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TENANT_QUOTA_H_
