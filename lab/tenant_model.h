// Models the tenants of a simulated fleet: their plans, their request rates, their ingress gateways, and
// their quotas as an observer of the whole fleet would count them.
#ifndef GATEWAY_LAB_TENANT_MODEL_H_
#define GATEWAY_LAB_TENANT_MODEL_H_

#include <cstddef>
#include <vector>

#include "lab/fleet_options.h"
#include "lab/random.h"
#include "policy/settings.h"

namespace gateway::lab {

// Tenants are numbered from 0. The times passed to the methods must not decrease. Not thread-safe.
class TenantModel {
 public:
  // Draws the tenants. The first of `plans` is the basic plan and the second is the pro plan; they have the
  // values of a real deployment and are scaled to the load of `options`. All quotas are full at `start_s`.
  TenantModel(const FleetOptions& options, std::vector<policy::PlanSettings> plans, double start_s,
              Random* random);

  const std::vector<policy::PlanSettings>& plans() const { return plans_; }
  // Returns the part of the traffic of all tenants that is within their quotas.
  double in_quota_requests_per_s() const { return in_quota_requests_per_s_; }

  int plan(int tenant) const { return at(tenant).plan; }
  // Returns the number of gateways at which the tenant's requests may arrive.
  int ingress_gateways(int tenant) const { return at(tenant).ingress_gateways; }
  // Returns the value of one cost unit of the tenant.
  double UnitPrice(int tenant) const;
  double OverQuotaPenalty(int tenant) const { return PlanOf(at(tenant)).over_quota_penalty; }

  // Draws the tenant of the next request, weighted by the request rates.
  int DrawTenant(Random* random) const;
  // Draws the gateway at which a request of the tenant arrives.
  int DrawIngressGateway(int tenant, double now_s, Random* random) const;

  // Takes the units of a forwarded request from the tenant's quota. Returns false and takes nothing if the
  // quota has fewer units left. Always returns true if quotas are disabled.
  bool TakeFromQuota(int tenant, double units, double now_s);
  // Returns whether at least half of the tenant's burst is unused.
  bool HasHalfBurstLeft(int tenant, double now_s);
  // Does the same as TakeFromQuota for the quota of a single gateway that receives all requests and admits
  // each one that the quota covers.
  bool TakeFromIdealQuota(int tenant, double units, double now_s);

 private:
  struct QuotaBucket {
    double units = 0;
    double refilled_at_s = 0;
    void Refill(const policy::PlanSettings& plan, double now_s);
  };
  struct Tenant {
    int plan = 0;
    int first_gateway = 0;
    int ingress_gateways = 1;      // count from `first_gateway` on, wrapping around
    double quota_utilization = 0;  // demand divided by the rate of its plan
    double requests_per_s = 0;
    QuotaBucket quota;        // charged with forwarded requests
    QuotaBucket ideal_quota;  // charged with all requests that it covers
  };

  Tenant& at(int tenant) { return tenants_[static_cast<size_t>(tenant)]; }
  const Tenant& at(int tenant) const { return tenants_[static_cast<size_t>(tenant)]; }
  const policy::PlanSettings& PlanOf(const Tenant& tenant) const;
  // Draws one tenant without its quotas.
  Tenant DrawNewTenant(Random* random) const;
  void ScalePlans(double factor);

  const TenantOptions options_;
  const int gateways_;
  const bool quotas_enabled_;
  const double max_cost_units_;
  std::vector<policy::PlanSettings> plans_;
  std::vector<Tenant> tenants_;
  std::vector<double> cumulative_requests_per_s_;  // sum over the tenants up to and including each one
  double in_quota_requests_per_s_ = 0;
};

// Returns the mean cost of a request whose units are drawn uniformly from 1 to `max_cost_units`.
inline double MeanCostUnits(double max_cost_units) { return (1 + max_cost_units) / 2; }

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_TENANT_MODEL_H_
