// The tenants of a simulated fleet: their plans, how much they ask for, the gateways through which they come,
// and their quotas as an observer of the whole fleet would count them.
#ifndef GATEWAY_LAB_TENANT_MODEL_H_
#define GATEWAY_LAB_TENANT_MODEL_H_

#include <cstddef>
#include <vector>

#include "lab/fleet_options.h"
#include "lab/random.h"
#include "policy/settings.h"

namespace gateway::lab {

// Tenants are numbered from 0. Clocks that are passed must not fall. Not thread-safe.
class TenantModel {
 public:
  // Draws the tenants. `plans` are scaled to the load of `options`, as the settings of a real site state
  // them: the first is the basic plan, the second the pro plan. All quotas are full at `start_s`.
  TenantModel(const FleetOptions& options, std::vector<policy::PlanSettings> plans, double start_s,
              Random* random);

  const std::vector<policy::PlanSettings>& plans() const { return plans_; }
  // Traffic of all tenants that stays within their quotas.
  double in_quota_requests_per_s() const { return in_quota_requests_per_s_; }

  int plan(int tenant) const { return at(tenant).plan; }
  // Gateways through which the tenant may come.
  int ingress_gateways(int tenant) const { return at(tenant).ingress_gateways; }
  // Value of one unit.
  double UnitPrice(int tenant) const;
  double OverQuotaPenalty(int tenant) const { return PlanOf(at(tenant)).over_quota_penalty; }

  // The tenant of the next request, by their rates.
  int DrawTenant(Random* random) const;
  // The gateway at which a request of the tenant arrives.
  int DrawIngressGateway(int tenant, double now_s, Random* random) const;

  // Takes the units of a forwarded request from the tenant's quota. False, and nothing taken, where the quota
  // has less; always true where quotas are off.
  bool TakeFromQuota(int tenant, double units, double now_s);
  // Whether at least half of the tenant's burst is unused.
  bool HasHalfBurst(int tenant, double now_s);
  // The same as TakeFromQuota for a gateway that saw all requests and admitted all for which there was quota.
  bool TakeFromIdealQuota(int tenant, double units, double now_s);

 private:
  struct QuotaBucket {
    double units = 0;
    double refilled_s = 0;
    void Refill(const policy::PlanSettings& plan, double now_s);
  };
  struct Tenant {
    int plan = 0;
    int first_gateway = 0;
    int ingress_gateways = 1;      // from the first, in a ring
    double quota_utilization = 0;  // demand over the rate of its plan
    double requests_per_s = 0;
    QuotaBucket quota;        // charged with what was forwarded
    QuotaBucket ideal_quota;  // charged with all requests for which there was quota
  };

  Tenant& at(int tenant) { return tenants_[static_cast<size_t>(tenant)]; }
  const Tenant& at(int tenant) const { return tenants_[static_cast<size_t>(tenant)]; }
  const policy::PlanSettings& PlanOf(const Tenant& tenant) const;
  // Draws one tenant but for its quotas.
  Tenant DrawNewTenant(Random* random) const;
  void ScalePlans(double factor);

  const TenantOptions options_;
  const int gateways_;
  const bool quotas_enabled_;
  const double max_cost_units_;
  std::vector<policy::PlanSettings> plans_;
  std::vector<Tenant> tenants_;
  std::vector<double> cumulative_requests_per_s_;  // of the tenants up to each
  double in_quota_requests_per_s_ = 0;
};

// Mean cost of a request whose units are drawn evenly from 1 to `max_cost_units`.
inline double MeanCostUnits(double max_cost_units) { return (1 + max_cost_units) / 2; }

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_TENANT_MODEL_H_
