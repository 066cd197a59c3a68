#include "policy/tenant.h"

#include <algorithm>

namespace gateway::policy {
namespace {

// A tenant with a rate quota is kept for at least this many windows without a request.
constexpr double kMinIdleWindows = 3;
constexpr double kIdleCheckIntervalS = TenantTable::kMinIdleS / 10;
// Assumed share of waiting requests that are within the quota, until counter replies are available.
constexpr double kInitialWithinQuotaShare = 0.7;
// Weight of one waiting request in the moving average of that share, for its plan and for its tenant.
constexpr double kPlanShareWeight = 0.05;
constexpr double kTenantShareWeight = 0.3;

// Time without requests after which quota and ceiling are full again.
double IdleTimeoutS(const PlanSettings& plan) {
  double idle_s = TenantTable::kMinIdleS;
  if (plan.rate_units_per_s > 0) idle_s = std::max(idle_s, kMinIdleWindows * WindowSeconds(plan));
  if (plan.ceiling_rate_units_per_s > 0) {
    double refill_s =
        2 * (plan.ceiling_burst_units + plan.ceiling_slack_units) / plan.ceiling_rate_units_per_s;
    idle_s = std::max(idle_s, refill_s);
  }
  return idle_s;
}

}  // namespace

void Tenant::Reserve(double cost_units) {
  if (quota.HasRateQuota()) quota.Charge(cost_units);
  if (quota.HasConcurrencyCap()) concurrency.Reserve();
}

void Tenant::ReleaseReservation(double cost_units) {
  if (quota.HasRateQuota()) quota.Charge(-cost_units);
  if (quota.HasConcurrencyCap()) concurrency.ReleaseReservation();
}

TenantTable::TenantTable(const Settings& settings, double gateway_started_at_s)
    : settings_(settings),
      gateway_started_at_s_(gateway_started_at_s),
      within_quota_share_(settings.plans.size(), kInitialWithinQuotaShare) {}

Tenant& TenantTable::RecordRequest(const Request& request, double now_s) {
  auto it = tenants_.find(request.tenant);
  if (it == tenants_.end()) {
    auto plan = static_cast<size_t>(request.plan);
    double max_gateways = std::max(1, settings_.gateway_count);
    double ingress_gateways = std::clamp(request.ingress_gateways, 1.0, max_gateways);
    TenantQuota quota(settings_.plans[plan], ingress_gateways, gateway_started_at_s_, now_s);
    Tenant tenant(request.tenant, request.plan, quota, within_quota_share_[plan]);
    it = tenants_.emplace(request.tenant, std::move(tenant)).first;
  }
  Tenant& tenant = it->second;
  tenant.last_request_at_s = now_s;
  tenant.requested_units += request.cost_units;
  return tenant;
}

void TenantTable::RemoveIdle(double now_s) {
  if (now_s - idle_checked_at_s_ < kIdleCheckIntervalS) return;
  idle_checked_at_s_ = now_s;
  std::erase_if(tenants_, [now_s](const auto& entry) {
    const Tenant& tenant = entry.second;
    if (now_s <= tenant.last_request_at_s + kMinIdleS) return false;
    if (tenant.HasCallPending() || tenant.concurrency.attempts_in_flight() != 0) return false;
    return now_s > tenant.last_request_at_s + IdleTimeoutS(tenant.quota.plan());
  });
}

void TenantTable::RecordWaitingResult(Tenant* tenant, bool within_quota) {
  double result = within_quota ? 1 : 0;
  double& plan_share = within_quota_share_[static_cast<size_t>(tenant->plan_index)];
  plan_share += kPlanShareWeight * (result - plan_share);
  tenant->within_quota_share += kTenantShareWeight * (result - tenant->within_quota_share);
}

}  // namespace gateway::policy
