// Tests of a gateway that receives one signal after another.
#include <csignal>
#include <string>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// An operator's tools send SIGTERM again, or SIGINT or SIGHUP, until the process has ended. A signal that
// arrives between the end of the event loop and the exit must not kill the process, or its exit status would
// look like a crash.
TEST(GatewaySignals, ExitsWithStatusZeroHoweverManySignalsFollowTheFirst) {
  const std::vector<std::vector<int>> series = {{SIGTERM}, {SIGINT}, {SIGHUP}, {SIGHUP, SIGINT, SIGTERM}};
  json config = ConfigJson(UnusedPort(), UnusedPort());
  for (const char* program : {API_GATEWAY, API_GATEWAY_SLOW_EXIT}) {
    for (const std::vector<int>& signals : series) {
      GatewayProcess gateway(config, program);
      gateway.Signal(SIGTERM);
      EXPECT_EQ(gateway.SignalUntilExit(signals), 0)
          << program << ", first signal of the series: " << signals[0];
    }
  }
}

// The same signals reach a gateway that cannot start. If one of them killed it, the operator would not see
// the exit status and the message of the failed start.
TEST(GatewaySignals, KeepsTheStatusOfAFailedStart) {
  GatewayProcess gateway(std::string("{}"), API_GATEWAY_SLOW_EXIT, rlim_t{0});
  EXPECT_EQ(gateway.port, 0);
  EXPECT_EQ(gateway.SignalUntilExit({SIGTERM, SIGINT, SIGHUP}), 1);
}

}  // namespace
}  // namespace gateway::net
