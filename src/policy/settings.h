// Settings of the decision module for one gateway. They come from its configuration file.
#ifndef GATEWAY_POLICY_SETTINGS_H_
#define GATEWAY_POLICY_SETTINGS_H_

#include <cstddef>
#include <vector>

namespace gateway::policy {

// Whether the backends may run a request of a class more than once (RFC 9110, 9.2.2).
enum class Idempotency {
  kIdempotent,      // It may run any number of times, also concurrently.
  kIdempotencyKey,  // Backends drop a repeat with the same key, within a time window and a scope.
  kNonIdempotent,   // It must not run twice.
};

// Set of backends that share their record of idempotency keys.
enum class DeduplicationScope { kAll, kZone, kCell };

// Settings of one request class.
struct ClassSettings {
  bool operator==(const ClassSettings&) const = default;

  double latency_objective_s = 0;     // a response within this time earns the full value
  double deadline_s = 0;              // longest time that a client waits for the response
  double deduplication_window_s = 0;  // time in which a repeat with the same key is dropped
  double priority_weight = 0;         // value of one request served in time
  double late_value_share = 0;        // share of that value earned between objective and deadline
  Idempotency idempotency = Idempotency::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
};

// Settings of one plan. Each of its tenants has these quotas over all gateways together.
struct PlanSettings {
  bool operator==(const PlanSettings&) const = default;

  double rate_units_per_s = 0;  // 0 means no rate quota
  double burst_units = 0;
  double ceiling_rate_units_per_s = 0;  // 0 means no ceiling
  double ceiling_burst_units = 0;
  double ceiling_slack_units = 0;   // tolerance in addition to the ceiling's burst
  double excess_value_share = 0;    // share of the value earned by a request beyond the quota
  double over_quota_penalty = 0;    // share of the value charged for a request beyond the quota
  int max_concurrent_attempts = 0;  // 0 means no limit
};

struct Settings {
  bool operator==(const Settings&) const = default;

  // `request_class` must be a valid index into `classes`.
  const ClassSettings& ClassAt(int request_class) const {
    return classes[static_cast<size_t>(request_class)];
  }

  int gateway_count = 0;
  int zone = 0;  // zone of this gateway
  double timer_resolution_s = 0;
  bool discovery_is_pushed = false;  // if false, the endpoint list is polled
  double max_request_units = 0;
  bool counter_enabled = false;
  double counter_timeout_s = 0;
  double counter_call_price = 0;  // cost of a call, in rejected requests
  bool cancellation_enabled = false;
  bool hedging_enabled = false;  // two attempts of one request may be in flight at once
  bool retry_after_enabled = false;
  double max_retry_after_s = 0;            // Retry-After for requests over quota
  int max_attempts = 0;                    // per request, including the first
  double connect_timeout_s = 0;            // time limit for connecting to a backend
  double slow_start_initial_fraction = 0;  // of full capacity, when a backend has just started
  double slow_start_duration_s = 0;        // until a started backend has full capacity
  // Load, as a multiple of its present capacity, at which a backend in warm-up collapses.
  double overload_multiple = 0;
  double discovery_poll_interval_s = 0;
  size_t max_tenants = 65536;  // whose quotas are kept, save busy ones; from the gateway's memory limit
  std::vector<ClassSettings> classes;
  std::vector<PlanSettings> plans;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SETTINGS_H_
