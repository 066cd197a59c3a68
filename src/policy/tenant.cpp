#include "policy/tenant.h"

#include <algorithm>

namespace gateway::policy {
namespace {

// A tenant with a rate quota is kept for at least this many windows without a request.
constexpr double kMinIdleWindows = 3;
constexpr double kIdleCheckIntervalS = TenantTable::kMinIdleS / 10;
// Tenants at which a full table looks for one that it may forget. The next request continues the search.
constexpr int kMaxEvictionLooks = 16;
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
      ceilings_known_from_s_(gateway_started_at_s),
      within_quota_share_(settings.plans.size(), kInitialWithinQuotaShare) {}

Tenant& TenantTable::RecordRequest(const Request& request, double now_s) {
  Tenant* known = Find(request.tenant);
  if (known != nullptr) MoveToMostRecentlyUsed(known, &OrderOf(*known));
  Tenant& tenant = known != nullptr ? *known : Add(request, now_s);
  tenant.last_request_at_s = now_s;
  tenant.requested_units += request.cost_units;
  return tenant;
}

Tenant& TenantTable::Add(const Request& request, double now_s) {
  MakeRoom();
  auto plan = static_cast<size_t>(request.plan);
  double max_gateways = std::max(1, settings_.gateway_count);
  double ingress_gateways = std::clamp(request.ingress_gateways, 1.0, max_gateways);
  TenantQuota quota(settings_.plans[plan], ingress_gateways, ceilings_known_from_s_, now_s);
  Tenant added(request.tenant, request.plan, quota, within_quota_share_[plan]);
  Tenant& tenant = tenants_.emplace(request.tenant, std::move(added)).first->second;
  tenant.use_position = not_admitted_.insert(not_admitted_.end(), tenant.id);
  return tenant;
}

void TenantTable::RecordAdmission(Tenant* tenant) {
  TenantIds* from = &OrderOf(*tenant);
  tenant->has_been_admitted = true;
  MoveToMostRecentlyUsed(tenant, from);
}

void TenantTable::MoveToMostRecentlyUsed(Tenant* tenant, TenantIds* from) {
  TenantIds& to = OrderOf(*tenant);
  to.splice(to.end(), *from, tenant->use_position);
}

// Forgets tenants until there is room for one more. The search is bounded, as busy tenants have to stay.
void TenantTable::MakeRoom() {
  int looks_left = kMaxEvictionLooks;
  while (tenants_.size() >= settings_.max_tenants) {
    if (EvictLeastRecentlyUsed(&not_admitted_, &looks_left)) continue;
    if (!EvictLeastRecentlyUsed(&admitted_, &looks_left)) return;
  }
}

// A busy tenant is passed over and counts as used now, so that the next search does not begin with it again.
bool TenantTable::EvictLeastRecentlyUsed(TenantIds* ids, int* looks_left) {
  for (; *looks_left > 0 && !ids->empty(); --*looks_left) {
    Tenant& tenant = tenants_.at(ids->front());
    if (tenant.IsBusy()) {
      MoveToMostRecentlyUsed(&tenant, ids);
      continue;
    }
    if (tenant.has_been_admitted) {
      ceilings_known_from_s_ = std::max(ceilings_known_from_s_, tenant.last_request_at_s);
    }
    ids->pop_front();
    tenants_.erase(tenant.id);
    return true;
  }
  return false;
}

void TenantTable::RemoveIdle(double now_s) {
  if (now_s - idle_checked_at_s_ < kIdleCheckIntervalS) return;
  idle_checked_at_s_ = now_s;
  std::erase_if(tenants_, [this, now_s](const auto& entry) {
    const Tenant& tenant = entry.second;
    if (now_s <= tenant.last_request_at_s + kMinIdleS || tenant.IsBusy()) return false;
    if (now_s <= tenant.last_request_at_s + IdleTimeoutS(tenant.quota.plan())) return false;
    OrderOf(tenant).erase(tenant.use_position);
    return true;
  });
}

void TenantTable::RecordWaitingResult(Tenant* tenant, bool within_quota) {
  double result = within_quota ? 1 : 0;
  double& plan_share = within_quota_share_[static_cast<size_t>(tenant->plan_index)];
  plan_share += kPlanShareWeight * (result - plan_share);
  tenant->within_quota_share += kTenantShareWeight * (result - tenant->within_quota_share);
}

}  // namespace gateway::policy
