#include "lab/slow_start_experiment.h"

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <mutex>
#include <thread>

#include "lab/fleet_simulation.h"

namespace gateway::lab {
namespace {

constexpr double kUtilization = 0.7;

FleetOptions EvenTraffic(int gateways, int cores) {
  FleetOptions options;
  options.quotas.enabled = false;  // only the rules for backends can delay or reject requests
  options.gateways = gateways;
  options.backends = 10;
  options.backend.cores = cores;
  options.tenants.count = 400;
  options.tenants.min_ingress_share = options.tenants.max_ingress_share = 1;
  options.tenants.ingress_skew = 0;
  options.traffic.utilization = kUtilization;
  options.traffic.mean_work_s = 0.18;
  // At this load, work needs no scaling to reach the utilization.
  options.traffic.requests_per_s =
      kUtilization * options.backends * options.backend.cores / options.traffic.mean_work_s;
  options.traffic.measured_s = 12;
  options.traffic.max_cost_units = 1;
  options.restarts.backend_share = 0.2;
  options.restarts.first_at_s = 2;
  options.restarts.period_s = 1;
  return options;
}

FleetOptions SeveralClasses(FleetOptions options) {
  options.traffic.request_classes = 4;
  options.traffic.max_cost_units = 6;
  return options;
}

FleetOptions UnevenTraffic(FleetOptions options) {
  options.tenants.ingress_skew = 2;
  options.tenants.ingress_rotation_s = 2;
  options.tenants.min_ingress_share = 0.05;
  options.tenants.max_ingress_share = 0.5;
  return options;
}

// The backends restart right after the quiet phase, when their utilization rises to 100%.
FleetOptions BurstAfterQuiet(FleetOptions options) {
  options.traffic.quiet_s = 8;
  options.traffic.utilization = 1;
  options.traffic.requests_per_s = options.traffic.requests_per_s / kUtilization;
  options.restarts.first_at_s = 0.1;
  return options;
}

FleetOptions LateNotifications(FleetOptions options) {
  options.discovery.late_gateway_share = 0.3;
  options.discovery.late_additional_lag_s = 3;
  options.restarts.per_backend = 3;
  options.restarts.period_s = 9;
  return options;
}

SlowStartScenario MakeScenario(const std::string& name, const FleetOptions& options) {
  int cores = options.backend.cores;
  return {name + ", " + std::to_string(options.gateways) + " gateways, " + std::to_string(cores) +
              (cores == 1 ? " core" : " cores"),
          options};
}

void AddRun(const SlowStartWindow& worst_window, uint64_t seed, SlowStartResult* result) {
  ++result->seeds;
  if (worst_window.ViolatesLimit()) ++result->violations;
  result->mean_load_ratio += (worst_window.load_ratio - result->mean_load_ratio) / result->seeds;
  result->max_notified_load_ratio =
      std::max(result->max_notified_load_ratio, worst_window.max_notified_load_ratio);
  if (worst_window.load_ratio <= result->worst_window.load_ratio) return;
  result->worst_window = worst_window;
  result->worst_seed = seed;
}

}  // namespace

std::vector<SlowStartScenario> SlowStartScenarios() {
  std::vector<SlowStartScenario> scenarios;
  for (int gateways : {3, 20, 30, 100, 300}) {
    for (int cores : {1, 3, 8}) {
      const FleetOptions even = EvenTraffic(gateways, cores);
      const FleetOptions classes = SeveralClasses(even);
      const FleetOptions uneven = UnevenTraffic(classes);
      const FleetOptions burst = BurstAfterQuiet(uneven);
      const FleetOptions late = LateNotifications(burst);
      // Scripts select scenarios by these names, so the names must not change.
      scenarios.push_back(MakeScenario("even", even));
      scenarios.push_back(MakeScenario("4 classes, 1 to 6 units", classes));
      scenarios.push_back(MakeScenario("the same, uneven", uneven));
      scenarios.push_back(MakeScenario("the same, a burst after quiet", burst));
      scenarios.push_back(MakeScenario("the same, 3 restarts, lists late", late));
    }
  }
  return scenarios;
}

std::vector<SlowStartResult> RunSlowStartScenarios(const std::vector<SlowStartScenario>& scenarios, int seeds,
                                                   int threads) {
  std::vector<SlowStartResult> results(scenarios.size());
  for (size_t i = 0; i < scenarios.size(); ++i) results[i].name = scenarios[i].name;
  const size_t runs = scenarios.size() * static_cast<size_t>(seeds);
  std::atomic<size_t> next_run{0};
  std::mutex results_mutex;
  auto run_worker = [&] {
    for (size_t run = next_run++; run < runs; run = next_run++) {
      size_t scenario = run % scenarios.size();
      FleetOptions options = scenarios[scenario].options;
      options.seed = run / scenarios.size() + 1;
      SlowStartWindow worst_window = SimulateFleet(options).slow_start;
      std::lock_guard lock(results_mutex);
      AddRun(worst_window, options.seed, &results[scenario]);
    }
  };
  std::vector<std::thread> workers;
  workers.reserve(static_cast<size_t>(threads));
  for (int i = 0; i < threads; ++i) workers.emplace_back(run_worker);
  for (std::thread& worker : workers) worker.join();
  return results;
}

Report MakeSlowStartReport(const std::vector<SlowStartResult>& results) {
  using Result = SlowStartResult;
  // Scripts read the column titles, so the titles must not change.
  static const std::vector<Column<Result>> kColumns = {
      {"point", [](const Result& result) { return result.name; }},
      {"seeds", [](const Result& result) { return std::to_string(result.seeds); }},
      {"worst", [](const Result& result) { return FormatDecimal(result.worst_window.load_ratio); }},
      {"of it told",
       [](const Result& result) { return FormatDecimal(result.worst_window.notified_load_ratio); }},
      {"most told in any",
       [](const Result& result) { return FormatDecimal(result.max_notified_load_ratio); }},
      {"mean of the seeds' worst",
       [](const Result& result) { return FormatDecimal(result.mean_load_ratio); }},
      {"N there", [](const Result& result) { return FormatDecimal(result.worst_window.work_allowed, 1); }},
      {"seed", [](const Result& result) { return std::to_string(result.worst_seed); }},
      {"broken", [](const Result& result) { return std::to_string(result.violations); }}};
  return MakeReport("Work sent to a cold backend in its worst window, over N + 2 sqrt(N) + 2", kColumns,
                    results);
}

}  // namespace gateway::lab
