// Configurations with which the tests start gateway processes.
#ifndef GATEWAY_TESTS_SUPPORT_GATEWAY_CONFIG_JSON_H_
#define GATEWAY_TESTS_SUPPORT_GATEWAY_CONFIG_JSON_H_

#include <nlohmann/json.hpp>
#include <string>

namespace gateway::test_support {

using nlohmann::json;

// Returns the settings of a deployment with three request classes and two plans.
inline json SettingsJson() {
  auto request_class = [](const char* name, const char* effect, double latency_objective_s,
                          double deadline_s) {
    return json{{"name", name},
                {"effect", effect},
                {"aim-s", latency_objective_s},
                {"hard-limit-s", deadline_s},
                {"window-s", 3.0},
                {"importance", 1.0},
                {"late-share", 0.0},
                {"dedup-scope", "all"},
                {"streamed", false}};
  };
  auto plan = [](const char* name, double rate_units_per_s, double burst_units, int concurrency_quota) {
    return json{{"name", name},
                {"units-per-s", rate_units_per_s},
                {"store-size", burst_units},
                {"never-over-rate", 0.0},
                {"ceiling-burst", 0.0},
                {"cap-slack", 0.0},
                {"excess-worth", 0.0},
                {"over-cost", 0.8},
                {"value-factor", 1.0},
                {"parallel", concurrency_quota}};
  };
  return {{"me", 0},
          {"peers-total", 2},
          {"zone", 0},
          {"zones", {"a", "b"}},
          {"kinds", {"std", "slow"}},
          {"resolution-s", 0.002},
          {"discovery", "pushed"},
          {"specifics",
           {{"units-top", 8}, {"may-count", true}, {"counter-timeout-s", 0.03}, {"counter-price", 0.005}}},
          {"prices", {{"cross-zone", 0.02}}},
          {"limits",
           {{"cancel", true},
            {"parallel-tries", false},
            {"retry-after", true},
            {"max-retry-after-s", 2.0},
            {"try-limit", 6},
            {"conn-idle-s", 30.0},
            {"connect-timeout-s", 0.25}}},
          {"invariants",
           {{"cold-from", 0.18},
            {"warm-after-s", 17.0},
            {"tip-multiple", 2.0},
            {"tip-after-s", 1.0},
            {"ask-within-s", 10.0},
            {"drain-grace-s", 0.5}}},
          {"request-classes",
           {request_class("quote", "free", 1.2, 3.0), request_class("save-scenario", "guarded", 0.4, 1.5),
            request_class("send-lead", "single_shot", 0.8, 2.5)}},
          {"tiers-of-service", {plan("business", 12, 32, 0), plan("small", 1, 2, 0)}}};
}

// Returns a gateway's configuration. `discovery_port` and `counter_port` are loopback ports, and
// `cached_endpoints` is the content of the cached endpoint list.
inline json ConfigJson(int discovery_port, int counter_port, const json& cached_endpoints = {}) {
  auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  return {{"name", "n0"},
          {"listen", address(0)},
          {"discovery", address(discovery_port)},
          {"counter", address(counter_port)},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 1024}}},
          {"known",
           {{"index", 0},
            {"snapshot", true},
            {"endpoints", cached_endpoints.is_array() ? cached_endpoints : json::array()}}},
          {"settings", SettingsJson()}};
}

// Like ConfigJson, but without cancellation, and with timeouts and deadlines that do not expire during a
// test.
inline json ConfigWithoutCancellation(int discovery_port, int counter_port) {
  json config = ConfigJson(discovery_port, counter_port);
  config["settings"]["limits"]["cancel"] = false;
  config["settings"]["limits"]["connect-timeout-s"] = 20.0;
  config["settings"]["specifics"]["counter-timeout-s"] = 5.0;
  for (json& request_class : config["settings"]["request-classes"]) request_class["hard-limit-s"] = 60.0;
  return config;
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_GATEWAY_CONFIG_JSON_H_
