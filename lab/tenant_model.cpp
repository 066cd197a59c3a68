#include "lab/tenant_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <utility>

namespace gateway::lab {
namespace {

constexpr std::array kUnitPrices = {1.3, 1.8};  // by plan
constexpr double kBasicPlanShare = 0.87;        // share of the tenants; each plan has about half of the usage
constexpr double kMinRequestsPerS = 1e-9;       // avoids a division by zero if no tenant sends requests
constexpr uint64_t kTenantHashFactor = 1000003;
constexpr int kMinIngressGateways = 2;
constexpr double kMinBurstPerMaxCost = 2;

// Draws the demand of a tenant as a multiple of its quota: far above the quota, slightly below it, or well
// below it.
double DrawQuotaUtilization(Random* random) {
  constexpr double kFarOverQuotaShare = 0.09, kUpToNearQuotaShare = 0.25;  // cumulative shares of the tenants
  double position = random->Uniform();
  if (position < kFarOverQuotaShare) return random->Between(1.6, 4.6);
  if (position < kUpToNearQuotaShare) return random->Between(0.8, 0.98);
  return random->Between(0.15, 0.5);
}

}  // namespace

void TenantModel::QuotaBucket::Refill(const policy::PlanSettings& plan, double now_s) {
  units = std::min(plan.burst_units, units + plan.rate_units_per_s * (now_s - refilled_at_s));
  refilled_at_s = now_s;
}

TenantModel::TenantModel(const FleetOptions& options, std::vector<policy::PlanSettings> plans, double start_s,
                         Random* random)
    : options_(options.tenants),
      gateways_(options.gateways),
      quotas_enabled_(options.quotas.enabled),
      max_cost_units_(options.traffic.max_cost_units),
      plans_(std::move(plans)) {
  double requests_per_s = 0, in_quota_requests_per_s = 0;
  for (int i = 0; i < options_.count; ++i) {
    Tenant tenant = DrawNewTenant(random);
    requests_per_s += tenant.requests_per_s;
    in_quota_requests_per_s += std::min(1.0, tenant.quota_utilization) * PlanOf(tenant).rate_units_per_s /
                               MeanCostUnits(max_cost_units_);
    tenants_.push_back(tenant);
  }
  double scale = options.traffic.requests_per_s / std::max(kMinRequestsPerS, requests_per_s);
  in_quota_requests_per_s_ = in_quota_requests_per_s * scale;
  if (quotas_enabled_) ScalePlans(scale);
  double cumulative = 0;
  for (Tenant& tenant : tenants_) {
    tenant.requests_per_s *= scale;
    tenant.quota = tenant.ideal_quota = {PlanOf(tenant).burst_units, start_s};
    cumulative += tenant.requests_per_s;
    cumulative_requests_per_s_.push_back(cumulative);
  }
}

TenantModel::Tenant TenantModel::DrawNewTenant(Random* random) const {
  Tenant tenant;
  tenant.plan = random->Uniform() < kBasicPlanShare ? 0 : 1;
  double ingress_share = random->Between(options_.min_ingress_share, options_.max_ingress_share);
  tenant.ingress_gateways = std::clamp(static_cast<int>(std::lround(ingress_share * gateways_)),
                                       std::min(kMinIngressGateways, gateways_), gateways_);
  tenant.first_gateway = random->Below(gateways_);
  tenant.quota_utilization = DrawQuotaUtilization(random);
  tenant.requests_per_s =
      tenant.quota_utilization * PlanOf(tenant).rate_units_per_s / MeanCostUnits(max_cost_units_);
  return tenant;
}

void TenantModel::ScalePlans(double factor) {
  for (policy::PlanSettings& plan : plans_) {
    plan.rate_units_per_s *= factor;
    plan.burst_units = std::max(plan.burst_units * factor, kMinBurstPerMaxCost * max_cost_units_);
  }
}

const policy::PlanSettings& TenantModel::PlanOf(const Tenant& tenant) const {
  return plans_[static_cast<size_t>(tenant.plan)];
}

double TenantModel::UnitPrice(int tenant) const { return kUnitPrices[static_cast<size_t>(plan(tenant))]; }

int TenantModel::DrawTenant(Random* random) const {
  double position = random->Uniform() * cumulative_requests_per_s_.back();
  auto drawn =
      std::lower_bound(cumulative_requests_per_s_.begin(), cumulative_requests_per_s_.end(), position);
  return std::min(static_cast<int>(drawn - cumulative_requests_per_s_.begin()), options_.count - 1);
}

int TenantModel::DrawIngressGateway(int tenant, double now_s, Random* random) const {
  const Tenant& drawn = at(tenant);
  // The tenant's gateways are ranked by their traffic. In each period the ranking starts at another gateway.
  auto period = static_cast<uint64_t>(now_s / options_.ingress_rotation_s);
  uint64_t hash = policy::MixBits(static_cast<uint64_t>(tenant) * kTenantHashFactor + period);
  int offset = static_cast<int>(hash % static_cast<uint64_t>(drawn.ingress_gateways));
  int rank =
      static_cast<int>(drawn.ingress_gateways * std::pow(random->Uniform(), 1 + options_.ingress_skew));
  rank = std::min(drawn.ingress_gateways - 1, rank);
  return (drawn.first_gateway + (rank + offset) % drawn.ingress_gateways) % gateways_;
}

bool TenantModel::TakeFromQuota(int tenant, double units, double now_s) {
  if (!quotas_enabled_) return true;
  Tenant& charged = at(tenant);
  charged.quota.Refill(PlanOf(charged), now_s);
  if (charged.quota.units < units) return false;
  charged.quota.units -= units;
  return true;
}

bool TenantModel::HasHalfBurstLeft(int tenant, double now_s) {
  Tenant& checked = at(tenant);
  checked.quota.Refill(PlanOf(checked), now_s);
  return checked.quota.units >= PlanOf(checked).burst_units / 2;
}

bool TenantModel::TakeFromIdealQuota(int tenant, double units, double now_s) {
  Tenant& charged = at(tenant);
  charged.ideal_quota.Refill(PlanOf(charged), now_s);
  if (charged.ideal_quota.units < units) return false;
  charged.ideal_quota.units -= units;
  return true;
}

}  // namespace gateway::lab
