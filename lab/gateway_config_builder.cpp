#include "lab/gateway_config_builder.h"

#include <nlohmann/json.hpp>

namespace gateway::lab {
namespace {

using nlohmann::json;

// Values that the configuration file requires and the settings of the decision module do not contain.
constexpr int kGatewayIndex = 0;
constexpr double kCrossZonePrice = 0.012;
constexpr double kConnectionIdleTimeoutS = 15;
constexpr double kOverloadWindowS = 1;
constexpr double kDrainGraceS = 2;
constexpr double kUnitValue = 1.3;
constexpr double kCores = 1;
constexpr int kMemoryMb = 256;
constexpr int kMaxSockets = 1024;

std::string LoopbackAddress(int port) { return "127.0.0.1:" + std::to_string(port); }

json ClassJson(const policy::ClassSettings& settings) {
  return {{"name", "thumb"},
          {"effect", "free"},  // idempotent
          {"aim-s", settings.latency_objective_s},
          {"hard-limit-s", settings.deadline_s},
          {"window-s", settings.deduplication_window_s},
          {"importance", settings.priority_weight},
          {"late-share", settings.late_value_share},
          {"dedup-scope", "all"},
          {"streamed", false}};
}

json PlanJson(const policy::PlanSettings& settings) {
  return {{"name", "basic"},
          {"units-per-s", settings.rate_units_per_s},
          {"store-size", settings.burst_units},
          {"never-over-rate", settings.ceiling_rate_units_per_s},
          {"ceiling-burst", settings.ceiling_burst_units},
          {"cap-slack", settings.ceiling_slack_units},
          {"excess-worth", settings.excess_value_share},
          {"over-cost", settings.over_quota_penalty},
          {"value-factor", kUnitValue},
          {"parallel", settings.max_concurrent_attempts}};
}

json LimitsJson(const policy::Settings& settings) {
  return {{"cancel", settings.cancellation_enabled},
          {"parallel-tries", settings.hedging_enabled},
          {"retry-after", settings.retry_after_enabled},
          {"max-retry-after-s", settings.max_retry_after_s},
          {"try-limit", settings.max_attempts},
          {"conn-idle-s", kConnectionIdleTimeoutS},
          {"connect-timeout-s", settings.connect_timeout_s}};
}

json InvariantsJson(const policy::Settings& settings) {
  return {
      {"cold-from", settings.slow_start_initial_fraction},  {"warm-after-s", settings.slow_start_duration_s},
      {"tip-multiple", settings.overload_multiple},         {"tip-after-s", kOverloadWindowS},
      {"ask-within-s", settings.discovery_poll_interval_s}, {"drain-grace-s", kDrainGraceS}};
}

json SettingsJson(const policy::Settings& settings) {
  json classes = json::array();
  for (const policy::ClassSettings& request_class : settings.classes) {
    classes.push_back(ClassJson(request_class));
  }
  json plans = json::array();
  for (const policy::PlanSettings& plan : settings.plans) plans.push_back(PlanJson(plan));
  return {{"me", kGatewayIndex},
          {"peers-total", settings.gateway_count},
          {"zone", settings.zone},
          {"zones", {"a", "b", "c", "d", "e", "f", "g"}},
          {"kinds", {"m2"}},
          {"resolution-s", settings.timer_resolution_s},
          {"discovery", settings.discovery_is_pushed ? "pushed" : "on_request"},
          {"specifics",
           {{"units-top", static_cast<int>(settings.max_request_units)},
            {"may-count", settings.counter_enabled},
            {"counter-timeout-s", settings.counter_timeout_s},
            {"counter-price", settings.counter_call_price}}},
          {"prices", {{"cross-zone", kCrossZonePrice}}},
          {"limits", LimitsJson(settings)},
          {"invariants", InvariantsJson(settings)},
          {"request-classes", classes},
          {"tiers-of-service", plans}};
}

}  // namespace

nlohmann::json MakeGatewayConfig(const GatewayProcessConfig& config) {
  return {{"name", "n0"},
          {"listen", LoopbackAddress(config.listen_port)},
          {"discovery", LoopbackAddress(config.discovery_port)},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", kCores}, {"memory_mb", kMemoryMb}, {"sockets", kMaxSockets}}},
          {"known", json::parse(config.known_endpoints)},
          {"settings", SettingsJson(config.settings)}};
}

}  // namespace gateway::lab
