// Table of the tenants seen by this gateway, with the state of their quotas.
#ifndef GATEWAY_POLICY_TENANT_H_
#define GATEWAY_POLICY_TENANT_H_

#include <cstddef>
#include <cstdint>
#include <list>
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
  // Whether something that has not ended yet refers to the tenant, so that it must stay in the table.
  bool IsBusy() const {
    return HasCallPending() || concurrency_report_deferred || !waiting.empty() ||
           concurrency.attempts_in_flight() != 0;
  }

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
  // Position in the table's order of use, for the table alone.
  bool has_been_admitted = false;
  std::list<uint64_t>::iterator use_position{};
};

// Owns the tenants. A reference to a tenant stays valid until RemoveIdle() or RecordRequest() removes it;
// RecordRequest() never removes the tenant that it returns.
//
// The number of tenants is bounded, since a client can name ever new ones. Rule (segmented LRU): when the
// table is full, a new tenant takes the place of the one that was used least recently among those of which no
// request has been admitted, and only if there is none, among the others. So names that are rejected never
// displace a tenant that has used its quota here, and a client has to use quotas of Settings::max_tenants
// names to do so.
//
// What a displaced tenant loses: its bucket is full again when it returns, as that of a new tenant, and the
// usage of the other gateways has to be read again. Its ceiling, which is a hard limit, is not refilled by
// that: while it is unknown who was displaced, the ceilings of new tenants fill from zero from the last
// request of the displaced tenants on.
//
// Invariant: there are at most Settings::max_tenants tenants that are not busy (Tenant::IsBusy), save those
// that were busy when the table was full.
class TenantTable {
 public:
  // Shortest time without requests after which a tenant may be removed.
  static constexpr double kMinIdleS = 10;

  // `settings` must outlive this object.
  TenantTable(const Settings& settings, double gateway_started_at_s);

  // Records an arriving request and returns its tenant, which is created if it is new. A full table forgets
  // another tenant for it.
  Tenant& RecordRequest(const Request& request, double now_s);
  // Returns null for an unknown tenant.
  Tenant* Find(uint64_t tenant_id) {
    auto it = tenants_.find(tenant_id);
    return it == tenants_.end() ? nullptr : &it->second;
  }

  // Records that a request of the tenant has been admitted and charged to its quotas.
  void RecordAdmission(Tenant* tenant);

  // Removes tenants that were idle long enough for their quotas to be in the initial state.
  void RemoveIdle(double now_s);

  // Updates the within-quota shares with the result of a request that waited for the counter.
  void RecordWaitingResult(Tenant* tenant, bool within_quota);

  size_t size() const { return tenants_.size(); }

 private:
  using TenantIds = std::list<uint64_t>;  // the least recently used tenant first

  Tenant& Add(const Request& request, double now_s);
  void MakeRoom();
  bool EvictLeastRecentlyUsed(TenantIds* ids, int* looks_left);
  TenantIds& OrderOf(const Tenant& tenant) { return tenant.has_been_admitted ? admitted_ : not_admitted_; }
  void MoveToMostRecentlyUsed(Tenant* tenant, TenantIds* from);

  const Settings& settings_;
  std::unordered_map<uint64_t, Tenant> tenants_;
  TenantIds not_admitted_, admitted_;       // by whether a request of the tenant has been admitted
  double ceilings_known_from_s_;            // the last request of all tenants that a full table has forgotten
  std::vector<double> within_quota_share_;  // by plan, initial value for new tenants
  double idle_checked_at_s_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TENANT_H_
