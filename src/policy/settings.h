// Settings of the decision module, as the configuration gives them to one gateway.
#ifndef GATEWAY_POLICY_SETTINGS_H_
#define GATEWAY_POLICY_SETTINGS_H_

#include <cstddef>
#include <vector>

namespace gateway::policy {

// What a repeated request of a class may do at the backends (RFC 9110, 9.2.2).
enum class Idempotency {
  kIdempotent,      // may run any number of times, also concurrently
  kIdempotencyKey,  // backends drop a repeat with the same key, within a time window and a scope
  kNonIdempotent,   // must not run twice
};

// Which backends share their memory of idempotency keys.
enum class DeduplicationScope { kAll, kZone, kCell };

// One class of requests.
struct ClassSettings {
  bool operator==(const ClassSettings&) const = default;

  double latency_objective_s = 0;     // an answer within this earns the full value
  double deadline_s = 0;              // the longest that a client waits
  double deduplication_window_s = 0;  // with an idempotency key: how long a repeat is dropped
  double priority_weight = 0;         // value of one request served in time
  double late_value_share = 0;        // share of that value between objective and deadline
  Idempotency idempotency = Idempotency::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
};

// One plan. Its quotas hold for each of its tenants over all gateways together.
struct PlanSettings {
  bool operator==(const PlanSettings&) const = default;

  double rate_units_per_s = 0;  // 0: no rate quota
  double burst_units = 0;
  double ceiling_rate_units_per_s = 0;  // 0: no ceiling
  double ceiling_burst_units = 0;
  double ceiling_slack_units = 0;
  double excess_value_share = 0;    // share of the value that is earned beyond the quota
  double over_quota_penalty = 0;    // share of the value that is charged beyond the quota
  int max_concurrent_attempts = 0;  // 0: no cap
};

struct Settings {
  bool operator==(const Settings&) const = default;

  // `request_class`: a valid index into `classes`.
  const ClassSettings& ClassAt(int request_class) const {
    return classes[static_cast<size_t>(request_class)];
  }

  int gateway_count = 0;
  int zone = 0;  // of this gateway
  double timer_resolution_s = 0;
  bool discovery_is_pushed = false;  // else the endpoint list is polled
  double max_request_units = 0;
  bool counter_enabled = false;
  double counter_timeout_s = 0;
  double counter_call_price = 0;  // a call costs as much as rejecting so many requests
  bool cancellation_enabled = false;
  bool hedging_enabled = false;  // two attempts of one request may be out at once
  bool retry_after_enabled = false;
  double max_retry_after_s = 0;            // advised to clients over their quota
  int max_attempts = 0;                    // of one request
  double connect_timeout_s = 0;            // in which a new connection to a backend comes up, or fails
  double slow_start_initial_fraction = 0;  // of full capacity, at the start of a backend
  double slow_start_duration_s = 0;        // until full capacity
  double overload_multiple = 0;            // of its present capacity, at which a warming-up backend collapses
  double discovery_poll_interval_s = 0;
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SETTINGS_H_
