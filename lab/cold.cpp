#include "lab/cold.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace gateway::lab {

std::vector<ColdPoint> ColdPoints() {
  std::vector<ColdPoint> points;
  auto base = [](int gateways, int cores) {
    FleetOptions s;
    s.quotas.enabled = false;  // nothing but the guards keeps work back
    s.gateways = gateways;
    s.backend.cores = cores;
    s.backends = 10;
    s.tenants.count = 400;
    s.traffic.utilization = 0.7;
    s.traffic.mean_work_s = 0.18;
    // So that a request takes 0.18 s of a core and the fleet is used to that share.
    s.traffic.requests_per_s = s.traffic.utilization * s.backends * s.backend.cores / s.traffic.mean_work_s;
    s.traffic.measured_s = 12;
    s.restarts.backend_share = 0.2;
    s.restarts.first_s = 2;
    s.restarts.within_s = 1;
    s.tenants.ingress_skew = 0;
    s.tenants.min_ingress_share = s.tenants.max_ingress_share = 1;
    s.traffic.max_cost_units = 1;
    return s;
  };
  auto add = [&](const std::string& name, FleetOptions s) {
    points.push_back({name + ", " + std::to_string(s.gateways) + " gateways, " +
                          std::to_string(s.backend.cores) + (s.backend.cores == 1 ? " core" : " cores"),
                      s});
  };
  for (int gateways : {3, 20, 30, 100, 300}) {
    for (int cores : {1, 3, 8}) {
      add("even", base(gateways, cores));
      FleetOptions mixed = base(gateways, cores);
      mixed.traffic.request_classes = 4;
      mixed.traffic.max_cost_units = 6;
      add("4 classes, 1 to 6 units", mixed);
      FleetOptions uneven = mixed;
      uneven.tenants.ingress_skew = 2;
      uneven.tenants.ingress_rotation_s = 2;
      uneven.tenants.min_ingress_share = 0.05;
      uneven.tenants.max_ingress_share = 0.5;
      add("the same, uneven", uneven);
      FleetOptions quiet = uneven;
      quiet.traffic.quiet_s = 8;
      quiet.traffic.utilization = 1;
      quiet.traffic.requests_per_s = base(gateways, cores).traffic.requests_per_s / 0.7;
      quiet.restarts.first_s = 0.1;
      add("the same, a burst after quiet", quiet);
      FleetOptions late = quiet;
      late.discovery.late_gateway_share = 0.3;
      late.discovery.late_s = 3;
      late.restarts.per_backend = 3;
      late.restarts.within_s = 9;
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
      FleetOptions spec = points[point].spec;
      spec.seed = job / points.size() + 1;
      SlowStartWindow worst = SimulateFleet(spec).slow_start;
      std::lock_guard lock(mutex);
      ColdResult& result = results[point];
      ++result.seeds;
      result.broken += worst.ViolatesLimit();
      result.mean_ratio += (worst.load_ratio - result.mean_ratio) / result.seeds;
      result.most_told = std::max(result.most_told, worst.max_notified_load_ratio);
      if (worst.load_ratio > result.worst.load_ratio) {
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
