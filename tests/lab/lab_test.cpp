// The lab's arithmetic against closed forms, and the proofs that it plays in a form short enough for each
// run.
#include <gtest/gtest.h>

#include <cmath>
#include <stdexcept>

#include "lab/cold.h"
#include "lab/control.h"
#include "lab/counter.h"
#include "lab/fleet.h"

namespace gateway::lab {
namespace {

TEST(Counter, ServesInTurnAtItsRateAndTurnsAwayPastItsLine) {
  CounterSpec spec;
  spec.calls_per_s = 100;
  spec.parts = 1;
  spec.call_s = 0;
  spec.most_wait_s = 0.5;
  Counter counter(spec);
  int busy = 0;
  for (int i = 0; i < 100; ++i) {  // all at once
    auto answer = counter.Call(10, 7, 1, 5);
    busy += answer.busy;
    if (answer.busy) continue;
    EXPECT_NEAR(answer.at_s, 10 + i / 100.0, 1e-9);
    EXPECT_EQ(answer.total, i + 1);
  }
  EXPECT_EQ(busy, 100 - 51);
  EXPECT_EQ(counter.Call(16, 7, 0, 5).total, 0) << "forgotten after its life";
}

// One gateway sends a Poisson stream to one backend: a request finds the connection open unless the gap
// before it was longer than the idle time.
TEST(Fleet, ReusesConnectionsAsAPoissonStreamDoes) {
  FleetSpec spec;
  spec.gateways = spec.backends = spec.zones = spec.tenants = 1;
  spec.quotas = false;
  spec.inside_share = 0;
  spec.work_s = 0.001;
  spec.requests_per_s = 0.1;
  spec.seconds = 40000;
  spec.conn_idle_s = 15;
  FleetCount count = RunFleet(spec);
  double reused = static_cast<double>(count.reused) / static_cast<double>(count.attempts);
  EXPECT_NEAR(reused, 1 - std::exp(-0.1 * 15), 0.02);
  EXPECT_NEAR(static_cast<double>(count.first_tries), 4000, 4 * std::sqrt(4000));
  EXPECT_EQ(count.served, count.first_tries);
}

TEST(Fleet, TheSameSeedGivesTheSameDay) {
  FleetSpec spec;
  spec.seconds = 5;
  FleetCount one = RunFleet(spec), two = RunFleet(spec);
  EXPECT_EQ(one.sent, two.sent);
  EXPECT_EQ(one.calls, two.calls);
  EXPECT_EQ(one.units_beyond, two.units_beyond);
  spec.seed = 2;
  EXPECT_NE(RunFleet(spec).units_sent, one.units_sent);
}

// The real program follows the hollow discovery: the whole list once, then what changes.
TEST(Control, OneGatewayLearnsTheListAndItsChanges) {
  ControlSpec spec;
  spec.gateway = API_GATEWAY;
  spec.backends = 50;
  spec.changes_per_s = 50;
  spec.seconds = 0.5;
  ControlCount count = RunControl(spec);
  EXPECT_GT(count.list_bytes, 50 * 100);
  EXPECT_GT(count.bytes_per_s, 0);
  EXPECT_GT(count.resident_mb, 1);
  spec.gateway = "/does/not/exist";
  EXPECT_THROW(RunControl(spec), std::runtime_error);
}

// Two seeds of each corner; `gateway-lab cold` plays hundreds.
TEST(Cold, NoBackendIsPushedOverByTheSumOfAllGateways) {
  for (const ColdResult& result : RunCold(ColdPoints(), 2, 2)) {
    EXPECT_EQ(result.broken, 0) << result.name;
    EXPECT_LT(result.most_told, 1) << result.name;
    EXPECT_GT(result.worst.sent, 0) << result.name << ": the backend was sent something";
  }
}

}  // namespace
}  // namespace gateway::lab
