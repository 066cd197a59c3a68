#include "config/settings_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <unordered_map>
#include <utility>

#include "config/config_error.h"

namespace gateway::config {
namespace {

// The largest value of a setting: a clock in nanoseconds and an int still hold it. None is negative.
constexpr double kMaxNumber = 1e9;

class SettingsText {
 public:
  explicit SettingsText(std::string_view text) {
    while (!text.empty()) {
      size_t end = text.find('\n');
      std::string_view line = text.substr(0, end);
      text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      size_t eq = line.find('=');
      if (eq == std::string_view::npos)
        throw ConfigError(std::string(line), "setting without '=': " + std::string(line));
      values_[std::string(line.substr(0, eq))] = std::string(line.substr(eq + 1));
    }
  }

  const std::string& Text(const std::string& key) const {
    auto it = values_.find(key);
    if (it == values_.end()) throw ConfigError::Missing(key);
    return it->second;
  }

  double Number(const std::string& key) const {
    const std::string& text = Text(key);
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    bool read = error == std::errc() && end == text.data() + text.size();
    if (!read || !(value >= 0 && value <= kMaxNumber)) Unreadable(key, text);
    return value;
  }

  double Positive(const std::string& key) const {
    double value = Number(key);
    if (value == 0) Unreadable(key, Text(key));
    return value;
  }

  int Whole(const std::string& key) const {
    double value = Number(key);
    if (value != std::floor(value)) Unreadable(key, Text(key));
    return static_cast<int>(value);
  }

  bool Flag(const std::string& key) const {
    const std::string& text = Text(key);
    if (text != "true" && text != "false") Unreadable(key, text);
    return text == "true";
  }

  template <typename T>
  T Choice(const std::string& key, std::initializer_list<std::pair<const char*, T>> choices) const {
    const std::string& text = Text(key);
    for (const auto& [word, value] : choices) {
      if (text == word) return value;
    }
    Unreadable(key, text);
  }

 private:
  [[noreturn]] static void Unreadable(const std::string& key, const std::string& text) {
    throw ConfigError::Unreadable(key, text);
  }

  std::unordered_map<std::string, std::string> values_;
};

}  // namespace

policy::Settings ParseSettings(std::string_view text) {
  SettingsText in(text);
  policy::Settings s;
  in.Whole("me");  // required, read by nobody
  s.gateway_count = in.Whole("peers-total");
  s.zone = in.Whole("zone");
  s.timer_resolution_s = in.Number("resolution-s");
  s.discovery_is_pushed = in.Choice<bool>("discovery", {{"pushed", true}, {"on_request", false}});
  s.max_request_units = in.Number("specifics.units-top");
  s.counter_enabled = in.Flag("specifics.may-count");
  s.counter_timeout_s = in.Number("specifics.counter-timeout-s");
  s.counter_call_price = in.Number("specifics.counter-price");
  in.Number("prices.cross-zone");  // required, read by nobody
  s.cancellation_enabled = in.Flag("limits.cancel");
  s.hedging_enabled = in.Flag("limits.parallel-tries");
  s.retry_after_enabled = in.Flag("limits.retry-after");
  s.max_retry_after_s = in.Number("limits.max-retry-after-s");
  s.max_attempts = in.Whole("limits.try-limit");
  s.connect_timeout_s = in.Number("limits.connect-timeout-s");
  s.slow_start_initial_fraction = in.Number("invariants.cold-from");
  s.slow_start_duration_s = in.Number("invariants.warm-after-s");
  s.overload_multiple = in.Number("invariants.tip-multiple");
  in.Number("invariants.tip-after-s");  // required, read by nobody
  s.discovery_poll_interval_s = in.Number("invariants.ask-within-s");
  int classes = static_cast<int>(in.Positive("request-classes.count"));
  for (int i = 0; i < classes; ++i) {
    std::string at = "request-classes." + std::to_string(i) + ".";
    policy::ClassSettings c;
    c.latency_objective_s = in.Positive(at + "aim-s");
    c.deadline_s = in.Positive(at + "hard-limit-s");
    c.deduplication_window_s = in.Number(at + "window-s");
    c.priority_weight = in.Number(at + "importance");
    c.late_value_share = in.Number(at + "late-share");
    c.idempotency =
        in.Choice<policy::Idempotency>(at + "effect", {{"free", policy::Idempotency::kIdempotent},
                                                       {"guarded", policy::Idempotency::kIdempotencyKey},
                                                       {"single_shot", policy::Idempotency::kNonIdempotent}});
    c.deduplication_scope = in.Choice<policy::DeduplicationScope>(
        at + "dedup-scope", {{"all", policy::DeduplicationScope::kAll},
                             {"zone", policy::DeduplicationScope::kZone},
                             {"cell", policy::DeduplicationScope::kCell}});
    s.classes.push_back(c);
  }
  int plans = static_cast<int>(in.Positive("tiers-of-service.count"));
  for (int i = 0; i < plans; ++i) {
    std::string at = "tiers-of-service." + std::to_string(i) + ".";
    policy::PlanSettings p;
    p.rate_units_per_s = in.Number(at + "units-per-s");
    p.burst_units = p.rate_units_per_s > 0 ? in.Positive(at + "store-size") : in.Number(at + "store-size");
    p.ceiling_rate_units_per_s = in.Number(at + "never-over-rate");
    p.ceiling_burst_units = in.Number(at + "ceiling-burst");
    p.ceiling_slack_units = in.Number(at + "cap-slack");
    p.excess_value_share = in.Number(at + "excess-worth");
    p.over_quota_penalty = in.Number(at + "over-cost");
    in.Number(at + "value-factor");  // required, read by nobody
    p.max_concurrent_attempts = in.Whole(at + "parallel");
    s.plans.push_back(p);
  }
  return s;
}

DeploymentSettings ParseDeploymentSettings(std::string_view text) {
  SettingsText in(text);
  DeploymentSettings s;
  auto names = [&](const std::string& list) {
    std::vector<std::string> out;
    for (int i = 0; i < in.Whole(list + ".count"); ++i) {
      out.push_back(in.Text(list + "." + std::to_string(i) + ".name"));
    }
    return out;
  };
  auto split = [&](const std::string& key) {
    std::vector<std::string> out;
    std::string_view rest = in.Text(key);
    while (!rest.empty()) {
      size_t end = std::min(rest.find(','), rest.size());
      out.emplace_back(rest.substr(0, end));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return out;
  };
  s.class_names = names("request-classes");
  s.plan_names = names("tiers-of-service");
  s.zone_names = split("zones");
  s.endpoint_kinds = split("kinds");
  s.connection_idle_s = in.Number("limits.conn-idle-s");
  s.connect_timeout_s = in.Number("limits.connect-timeout-s");
  s.drain_grace_s = in.Number("invariants.drain-grace-s");
  return s;
}

}  // namespace gateway::config
