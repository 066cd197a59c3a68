#include "lab/cold.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace gateway::lab {

std::vector<ColdPoint> ColdPoints() {
  std::vector<ColdPoint> points;
  auto base = [](int gateways, int cores) {
    FleetSpec s;
    s.quotas = false;  // nothing but the guards keeps work back
    s.gateways = gateways;
    s.cores = cores;
    s.backends = 10;
    s.tenants = 400;
    s.inside_share = 0.7;
    s.work_s = 0.18;
    // So that a request takes 0.18 s of a core and the fleet is used to that share.
    s.requests_per_s = s.inside_share * s.backends * s.cores / s.work_s;
    s.seconds = 12;
    s.replaced_share = 0.2;
    s.replaced_at_s = 2;
    s.replaced_within_s = 1;
    s.skew = 0;
    s.spread_low = s.spread_high = 1;
    s.most_units = 1;
    return s;
  };
  auto add = [&](const std::string& name, FleetSpec s) {
    points.push_back({name + ", " + std::to_string(s.gateways) + " gateways, " + std::to_string(s.cores) +
                          (s.cores == 1 ? " core" : " cores"),
                      s});
  };
  for (int gateways : {3, 20, 30, 100, 300}) {
    for (int cores : {1, 3, 8}) {
      add("even", base(gateways, cores));
      FleetSpec mixed = base(gateways, cores);
      mixed.classes = 4;
      mixed.most_units = 6;
      add("4 classes, 1 to 6 units", mixed);
      FleetSpec uneven = mixed;
      uneven.skew = 2;
      uneven.shift_s = 2;
      uneven.spread_low = 0.05;
      uneven.spread_high = 0.5;
      add("the same, uneven", uneven);
      FleetSpec quiet = uneven;
      quiet.quiet_s = 8;
      quiet.inside_share = 1;
      quiet.requests_per_s = base(gateways, cores).requests_per_s / 0.7;
      quiet.replaced_at_s = 0.1;
      add("the same, a burst after quiet", quiet);
      FleetSpec late = quiet;
      late.late_share = 0.3;
      late.late_s = 3;
      late.restarts = 3;
      late.replaced_within_s = 9;
      add("the same, 3 restarts, lists late", late);
    }
  }
  return points;
}

std::vector<ColdResult> RunCold(const std::vector<ColdPoint>& points, int seeds, int threads) {
  std::vector<ColdResult> results(points.size());
  for (size_t i = 0; i < points.size(); ++i) results[i].name = points[i].name;
  std::atomic<size_t> next{0};
  std::mutex mutex;
  auto work = [&] {
    for (;;) {
      size_t job = next++;
      if (job >= points.size() * static_cast<size_t>(seeds)) return;
      size_t point = job % points.size();
      FleetSpec spec = points[point].spec;
      spec.seed = job / points.size() + 1;
      ColdWindow worst = RunFleet(spec).cold;
      std::lock_guard lock(mutex);
      ColdResult& result = results[point];
      ++result.seeds;
      result.broken += worst.Broken();
      result.mean_ratio += (worst.ratio - result.mean_ratio) / result.seeds;
      result.most_told = std::max(result.most_told, worst.most_told);
      if (worst.ratio > result.worst.ratio) {
        result.worst = worst;
        result.worst_seed = spec.seed;
      }
    }
  };
  std::vector<std::thread> workers;
  for (int i = 0; i < threads; ++i) workers.emplace_back(work);
  for (std::thread& worker : workers) worker.join();
  return results;
}

}  // namespace gateway::lab
