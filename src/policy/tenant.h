// The tenants that this gateway has seen, each with the state of its quotas.
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

// A request that waits for the counter's reply.
struct WaitingRequest {
  uint32_t request_id = 0;
  double cost_units = 0;
  bool reserved = false;  // charged already, so that the call reports it too
};

struct Tenant {
  Tenant(uint64_t tenant_id, int plan, const TenantQuota& rate_quota, double share)
      : id(tenant_id), plan_index(plan), quota(rate_quota), within_quota_share(share) {}

  // Charges or gives back what a waiting request will use.
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
  double within_quota_share;   // of its requests that waited for the counter, those within the quota
  bool usage_call_pending = false;
  bool concurrency_call_pending = false;
  bool concurrency_report_deferred = false;  // until the pause between calls is over
  std::vector<WaitingRequest> waiting;       // first come, first decided
};

// Owns the tenants. References stay valid until RemoveIdle removes their tenant.
class TenantTable {
 public:
  // The time after which a tenant with no request may be forgotten, at least.
  static constexpr double kMinIdleS = 10;

  // `settings` must outlive this.
  TenantTable(const Settings& settings, double gateway_started_at_s);

  // The tenant of a request that arrives, created where it is new.
  Tenant& RecordRequest(const Request& request, double now_s);
  // Null where it is not known.
  Tenant* Find(uint64_t tenant_id) {
    auto it = tenants_.find(tenant_id);
    return it == tenants_.end() ? nullptr : &it->second;
  }

  // Forgets tenants that were idle for so long that their quotas are as new. Bounds the memory.
  void RemoveIdle(double now_s);

  // Learns from a request that waited for the counter whether it was within the quota.
  void RecordWaitingResult(Tenant* tenant, bool within_quota);

 private:
  const Settings& settings_;
  const double gateway_started_at_s_;
  std::unordered_map<uint64_t, Tenant> tenants_;
  std::vector<double> within_quota_share_;  // by plan
  double idle_checked_at_s_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TENANT_H_
