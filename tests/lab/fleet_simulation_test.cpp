#include "lab/fleet_simulation.h"

#include <gtest/gtest.h>

#include <cmath>

namespace gateway::lab {
namespace {

// Guards against a wrong reuse of idle connections. One gateway sends a Poisson stream of requests to one
// backend. A request reuses the connection unless the gap before it was longer than the idle timeout.
TEST(FleetSimulation, ReusesConnectionsAsExpectedOfAPoissonStream) {
  FleetOptions options;
  options.gateways = options.backends = options.zones = options.tenants.count = 1;
  options.quotas.enabled = false;
  options.traffic.utilization = 0;
  options.traffic.mean_work_s = 0.001;
  options.traffic.requests_per_s = 0.1;
  options.traffic.measured_s = 40000;
  options.network.connection_idle_timeout_s = 15;
  FleetMetrics metrics = SimulateFleet(options);
  double reused = static_cast<double>(metrics.connections_reused) / static_cast<double>(metrics.attempts);
  EXPECT_NEAR(reused, 1 - std::exp(-0.1 * 15), 0.02);
  EXPECT_NEAR(static_cast<double>(metrics.first_requests), 4000, 4 * std::sqrt(4000));
  EXPECT_EQ(metrics.served, metrics.first_requests);
}

TEST(FleetSimulation, SameSeedGivesTheSameRun) {
  FleetOptions options;
  options.traffic.measured_s = 5;
  FleetMetrics first = SimulateFleet(options);
  FleetMetrics second = SimulateFleet(options);
  EXPECT_EQ(first.forwarded, second.forwarded);
  EXPECT_EQ(first.counter_calls, second.counter_calls);
  EXPECT_EQ(first.over_quota_units, second.over_quota_units);
  options.seed = 2;
  EXPECT_NE(SimulateFleet(options).forwarded_units, first.forwarded_units);
}

}  // namespace
}  // namespace gateway::lab
