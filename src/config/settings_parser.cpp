#include "config/settings_parser.h"

#include "config/settings_text.h"

namespace gateway::config {
namespace {

using policy::DeduplicationScope;
using policy::Idempotency;

constexpr char kClassesPath[] = "request-classes";
constexpr char kPlansPath[] = "tiers-of-service";

// Keys that belong to the settings format but have no effect here. They are validated nevertheless, in the
// order of the format, so that truncated or corrupted settings are rejected at the first invalid key.
constexpr char kUnusedGatewayIndexKey[] = "me";
constexpr char kUnusedCrossZonePriceKey[] = "prices.cross-zone";
constexpr char kUnusedOverloadDurationKey[] = "invariants.tip-after-s";
constexpr char kUnusedPlanValueFactorKey[] = "value-factor";

std::string ItemPath(const std::string& list_path, int index) {
  return list_path + "." + std::to_string(index) + ".";
}

void ParseGatewaySection(const SettingsText& text, policy::Settings* settings) {
  text.Integer(kUnusedGatewayIndexKey);
  settings->gateway_count = text.Integer("peers-total");
  settings->zone = text.Integer("zone");
  settings->timer_resolution_s = text.Number("resolution-s");
  settings->discovery_is_pushed = text.Choice<bool>("discovery", {{"pushed", true}, {"on_request", false}});
}

void ParseQuotaSection(const SettingsText& text, policy::Settings* settings) {
  settings->max_request_units = text.Number("specifics.units-top");
  settings->counter_enabled = text.Bool("specifics.may-count");
  settings->counter_timeout_s = text.Number("specifics.counter-timeout-s");
  settings->counter_call_price = text.Number("specifics.counter-price");
  text.Number(kUnusedCrossZonePriceKey);
}

void ParseLimitsSection(const SettingsText& text, policy::Settings* settings) {
  settings->cancellation_enabled = text.Bool("limits.cancel");
  settings->hedging_enabled = text.Bool("limits.parallel-tries");
  settings->retry_after_enabled = text.Bool("limits.retry-after");
  settings->max_retry_after_s = text.Number("limits.max-retry-after-s");
  settings->max_attempts = text.Integer("limits.try-limit");
  settings->connect_timeout_s = text.Number("limits.connect-timeout-s");
}

void ParseInvariantsSection(const SettingsText& text, policy::Settings* settings) {
  settings->slow_start_initial_fraction = text.Number("invariants.cold-from");
  settings->slow_start_duration_s = text.Number("invariants.warm-after-s");
  settings->overload_multiple = text.Number("invariants.tip-multiple");
  text.Number(kUnusedOverloadDurationKey);
  settings->discovery_poll_interval_s = text.Number("invariants.ask-within-s");
}

policy::ClassSettings ParseClass(const SettingsText& text, const std::string& path) {
  policy::ClassSettings parsed;
  parsed.latency_objective_s = text.PositiveNumber(path + "aim-s");
  parsed.deadline_s = text.PositiveNumber(path + "hard-limit-s");
  parsed.deduplication_window_s = text.Number(path + "window-s");
  parsed.priority_weight = text.Number(path + "importance");
  parsed.late_value_share = text.Number(path + "late-share");
  parsed.idempotency =
      text.Choice<Idempotency>(path + "effect", {{"free", Idempotency::kIdempotent},
                                                 {"guarded", Idempotency::kIdempotencyKey},
                                                 {"single_shot", Idempotency::kNonIdempotent}});
  parsed.deduplication_scope =
      text.Choice<DeduplicationScope>(path + "dedup-scope", {{"all", DeduplicationScope::kAll},
                                                             {"zone", DeduplicationScope::kZone},
                                                             {"cell", DeduplicationScope::kCell}});
  return parsed;
}

policy::PlanSettings ParsePlan(const SettingsText& text, const std::string& path) {
  policy::PlanSettings parsed;
  parsed.rate_units_per_s = text.Number(path + "units-per-s");
  bool has_rate_quota = parsed.rate_units_per_s > 0;
  std::string burst_path = path + "store-size";
  parsed.burst_units = has_rate_quota ? text.PositiveNumber(burst_path) : text.Number(burst_path);
  parsed.ceiling_rate_units_per_s = text.Number(path + "never-over-rate");
  parsed.ceiling_burst_units = text.Number(path + "ceiling-burst");
  parsed.ceiling_slack_units = text.Number(path + "cap-slack");
  parsed.excess_value_share = text.Number(path + "excess-worth");
  parsed.over_quota_penalty = text.Number(path + "over-cost");
  text.Number(path + kUnusedPlanValueFactorKey);
  parsed.max_concurrent_attempts = text.Integer(path + "parallel");
  return parsed;
}

// Returns the key of a list's length. The items of a list are at ".0", ".1" and so on.
std::string CountPath(const std::string& list_path) { return list_path + ".count"; }

// Does not reserve memory for the count, which may be absurdly large: the first missing name throws.
void ParseNames(const SettingsText& text, const std::string& list_path, std::vector<std::string>* names) {
  int count = text.Integer(CountPath(list_path));
  for (int i = 0; i < count; ++i) names->push_back(text.String(ItemPath(list_path, i) + "name"));
}

}  // namespace

policy::Settings ParseSettings(std::string_view text) {
  SettingsText settings_text(text);
  policy::Settings settings;
  ParseGatewaySection(settings_text, &settings);
  ParseQuotaSection(settings_text, &settings);
  ParseLimitsSection(settings_text, &settings);
  ParseInvariantsSection(settings_text, &settings);
  int class_count = static_cast<int>(settings_text.PositiveNumber(CountPath(kClassesPath)));
  for (int i = 0; i < class_count; ++i) {
    settings.classes.push_back(ParseClass(settings_text, ItemPath(kClassesPath, i)));
  }
  int plan_count = static_cast<int>(settings_text.PositiveNumber(CountPath(kPlansPath)));
  for (int i = 0; i < plan_count; ++i) {
    settings.plans.push_back(ParsePlan(settings_text, ItemPath(kPlansPath, i)));
  }
  return settings;
}

DeploymentSettings ParseDeploymentSettings(std::string_view text) {
  SettingsText settings_text(text);
  DeploymentSettings settings;
  ParseNames(settings_text, kClassesPath, &settings.class_names);
  ParseNames(settings_text, kPlansPath, &settings.plan_names);
  settings.zone_names = settings_text.Strings("zones");
  settings.endpoint_kinds = settings_text.Strings("kinds");
  settings.connection_idle_s = settings_text.Number("limits.conn-idle-s");
  settings.connect_timeout_s = settings_text.Number("limits.connect-timeout-s");
  settings.drain_grace_s = settings_text.Number("invariants.drain-grace-s");
  return settings;
}

}  // namespace gateway::config
