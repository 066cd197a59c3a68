#include "lab/fleet_settings.h"

namespace gateway::lab {
namespace {

constexpr double kCounterCallPrice = 0.01;
constexpr double kMaxRetryAfterS = 1;
constexpr int kMaxAttempts = 6;
constexpr double kConnectTimeoutS = 0.25;
constexpr double kDiscoveryPollIntervalS = 10;
constexpr double kDeduplicationWindowS = 5;
constexpr double kBasicOverQuotaPenalty = 0.5;
constexpr double kProOverQuotaPenalty = 0.8;
constexpr double kUnlimitedUnits = 1e9;  // rate and burst if quotas are disabled

policy::ClassSettings MakeClassSettings() {
  policy::ClassSettings settings;
  settings.latency_objective_s = kLatencyObjectiveS;
  settings.deadline_s = kDeadlineS;
  settings.deduplication_window_s = kDeduplicationWindowS;
  settings.priority_weight = 1;
  settings.idempotency = policy::Idempotency::kIdempotent;
  return settings;
}

policy::PlanSettings MakePlanSettings(const PlanOptions& plan, bool quotas_enabled,
                                      double over_quota_penalty) {
  policy::PlanSettings settings;
  settings.rate_units_per_s = quotas_enabled ? plan.rate_units_per_s : kUnlimitedUnits;
  settings.burst_units = quotas_enabled ? plan.rate_units_per_s * plan.burst_s : kUnlimitedUnits;
  settings.over_quota_penalty = over_quota_penalty;
  return settings;
}

}  // namespace

policy::Settings MakeGatewaySettings(const FleetOptions& options) {
  policy::Settings settings;
  settings.gateway_count = options.gateways;
  settings.timer_resolution_s = options.timer_resolution_s;
  settings.discovery_is_pushed = true;
  settings.max_request_units = options.traffic.max_cost_units;
  settings.counter_enabled = options.quotas.enabled;
  settings.counter_timeout_s = kCounterTimeoutS;
  settings.counter_call_price = kCounterCallPrice;
  settings.cancellation_enabled = true;
  settings.hedging_enabled = true;
  settings.retry_after_enabled = true;
  settings.max_retry_after_s = kMaxRetryAfterS;
  settings.max_attempts = kMaxAttempts;
  settings.connect_timeout_s = kConnectTimeoutS;
  settings.slow_start_initial_fraction = options.backend.slow_start_initial_fraction;
  settings.slow_start_duration_s = options.backend.slow_start_duration_s;
  settings.overload_multiple = options.overload.multiple;
  settings.discovery_poll_interval_s = kDiscoveryPollIntervalS;
  for (int i = 0; i < options.traffic.request_classes; ++i) settings.classes.push_back(MakeClassSettings());
  const QuotaOptions& quotas = options.quotas;
  settings.plans.push_back(MakePlanSettings(quotas.basic, quotas.enabled, kBasicOverQuotaPenalty));
  settings.plans.push_back(MakePlanSettings(quotas.pro, quotas.enabled, kProOverQuotaPenalty));
  return settings;
}

}  // namespace gateway::lab
