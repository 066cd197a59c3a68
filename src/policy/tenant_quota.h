// One tenant's rate quota, held at this gateway on behalf of the fleet.
#ifndef GATEWAY_POLICY_TENANT_QUOTA_H_
#define GATEWAY_POLICY_TENANT_QUOTA_H_

#include <cstdint>

#include "policy/settings.h"
#include "policy/token_bucket.h"

namespace gateway::policy {

// What a request beyond the quota costs over what it earns, as a share of its value.
inline double OverQuotaLoss(const PlanSettings& plan) {
  return plan.over_quota_penalty - plan.excess_value_share;
}

// Whether requests beyond the quota still earn more than they cost, so that spare capacity may be borrowed.
inline bool AllowsBorrowing(const PlanSettings& plan) {
  return plan.excess_value_share > plan.over_quota_penalty;
}

// Length of one counter window: the time in which the rate refills the burst.
inline double WindowSeconds(const PlanSettings& plan) { return plan.burst_units / plan.rate_units_per_s; }

// Rule (DESIGN): time is cut into windows of one burst at the quota's rate. A window starts with a store of
// units, at most one burst. All gateways together may forward the store plus what the rate adds during the
// window. What is left becomes the next window's store; what was overspent is missing from it.
//
// Here the store is kept as its deficit, burst - store. Spent units are the deficit at the window's start
// plus all units of this window that are known here: own charges, and the other gateways' by the counter's
// totals.
//
// Invariants: tokens never exceed the burst; units charged here are reported to the counter exactly once, or
// kept as unreported.
//
// Where the counter has not answered yet, or no longer does, the other gateways are taken to go on as last
// known, so this gateway stays within its own part of the quota.
class TenantQuota {
 public:
  // What a counter total has shown.
  struct TotalResult {
    bool counter_lost_state = false;       // the total fell: nothing else was learnt from it
    bool first_of_unknown_window = false;  // ours is the first report, and the window before is not known
  };

  // `ingress_gateways`: gateways through which the tenant may come, at least 1. The plan must outlive this.
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
  // Whether what the other gateways use is known: a total was read, and no window has been missed since.
  bool IsOthersUsageKnown() const { return others_usage_known_; }

  // Brings buckets and window up to now. Every other call expects that it has been called for its clock.
  void Refill(double now_s, bool counter_is_silent);

  // Whether tokens, window and, before the first counter reply, this gateway's part cover `units`.
  bool HasRoom(double units, double now_s) const;

  // Probability in [0, 1] that the fleet-wide quota covers `units`: the totals last read count less with age,
  // `prior` (the share of such requests that proved to be within the quota) counts more. For tenants that
  // come through several gateways.
  double ProbabilityOfRoom(double units, double now_s, double prior, double max_request_units,
                           bool counter_is_silent) const;

  // The ceiling is a hard limit on top of the quota, split evenly among the ingress gateways.
  bool CeilingAllows(double units) const {
    return plan_->ceiling_rate_units_per_s <= 0 || ceiling_.tokens() >= units;
  }
  void ChargeCeiling(double units);

  // Takes `units` for a forwarded request; negative units are given back.
  void Charge(double units);

  // Lets a request stand for more or fewer units in the next report than it was charged (counter_schedule.h),
  // or makes units due again whose report surely was not added.
  void AddUnreported(double units) { unreported_units_ += units; }

  // Whether the units not yet reported are many enough, or old enough, for a call.
  bool IsReportDue(double now_s) const;
  // The unreported units have been handed to a call.
  void MarkReported() { unreported_units_ = 0; }

  // A total of the current window, read with a report of `reported_units` included.
  TotalResult ApplyTotal(double reported_units, double total, double now_s, double max_request_units);
  // The total of the window before: what it was overspent by is taken off this one.
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
  TokenBucket bucket_;                  // own charges and what the counter tells of others are taken off
  TokenBucket ceiling_;                 // this gateway's part
  double others_rate_units_per_s_ = 0;  // forwarded by the other gateways, as last known
  double own_rate_units_per_s_ = 0;     // forwarded by this one
  int64_t window_ = 0;
  double starting_deficit_units_ = 0;       // of this window, until the first total: later totals contain it
  double spent_units_ = 0;                  // starting deficit, plus what this window is known to have used
  double last_total_units_ = 0;             // read in this window
  double total_read_at_s_ = 0;              // clock of that
  double unreported_units_ = 0;             // charged here and not yet told to the counter
  double charged_while_unknown_units_ = 0;  // charged before the first reply
  bool others_usage_known_ = false;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TENANT_QUOTA_H_
