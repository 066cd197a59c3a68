// Table of the tenants seen by this gateway, with the state of their quotas.
#ifndef GATEWAY_POLICY_TENANT_H_
#define GATEWAY_POLICY_TENANT_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "policy/concurrency_quota.h"
#include "policy/demand_share.h"
#include "policy/events.h"
#include "policy/settings.h"
#include "policy/tenant_quota.h"

namespace gateway::policy {

// A request that waits for a reply of the counter.
struct WaitingRequest {
  uint32_t request_id = 0;
  double cost_units = 0;
  bool reserved = false;  // charged in advance, so that the call reports it
};

// State that this gateway keeps for one tenant.
struct Tenant {
  Tenant(uint64_t tenant_id, int plan, const TenantQuota& rate_quota, double initial_within_quota_share)
      : id(tenant_id), plan_index(plan), quota(rate_quota), within_quota_share(initial_within_quota_share) {}

  // Charges the units and the attempt that a waiting request will use, or gives them back.
  void Reserve(double cost_units);
  void ReleaseReservation(double cost_units);
  bool HasCallPending() const { return usage_call_pending || concurrency_call_pending; }

  uint64_t id;
  int plan_index;
  TenantQuota quota;
  ConcurrencyQuota concurrency;
  BorrowingAllowance borrowing_allowance;
  double last_request_at_s = 0;
  double requested_units = 0;  // since the tenant was first seen
  double within_quota_share;   // share of its waiting requests that proved to be within quota
  bool usage_call_pending = false;
  bool concurrency_call_pending = false;
  bool concurrency_report_deferred = false;  // waits for the end of the pause between calls
  std::vector<WaitingRequest> waiting;       // in order of arrival, which is the order of decision
};

// Owns the tenants. A reference to a tenant stays valid until RemoveIdle() removes it.
class TenantTable {
 public:
  // Shortest time without requests after which a tenant may be removed.
  static constexpr double kMinIdleS = 10;

  // `settings` must outlive this object.
  TenantTable(const Settings& settings, double gateway_started_at_s);

  // Records an arriving request and returns its tenant, which is created if it is new.
  Tenant& RecordRequest(const Request& request, double now_s);
  // Returns null for an unknown tenant.
  Tenant* Find(uint64_t tenant_id) {
    auto it = tenants_.find(tenant_id);
    return it == tenants_.end() ? nullptr : &it->second;
  }

  // Removes tenants that were idle long enough for their quotas to be in the initial state. This
  // bounds the memory.
  void RemoveIdle(double now_s);

  // Updates the within-quota shares with the result of a request that waited for the counter.
  void RecordWaitingResult(Tenant* tenant, bool within_quota);

 private:
  const Settings& settings_;
  const double gateway_started_at_s_;
  std::unordered_map<uint64_t, Tenant> tenants_;
  std::vector<double> within_quota_share_;  // by plan, initial value for new tenants
  double idle_checked_at_s_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TENANT_H_
