// A running gateway that gets one signal after another.
#include <csignal>
#include <string>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// An operator's tools send SIGTERM again, or SIGINT or SIGHUP, until the process is gone. One that comes
// between the end of the event loop and the exit must not end the process by that signal: its exit status
// would tell of a crash.
TEST(GatewaySignals, ExitsWithStatusZeroHoweverManySignalsFollowTheFirst) {
  const std::vector<std::vector<int>> series = {{SIGTERM}, {SIGINT}, {SIGHUP}, {SIGHUP, SIGINT, SIGTERM}};
  json config = ConfigJson(UnusedPort(), UnusedPort());
  for (const char* program : {API_GATEWAY, API_GATEWAY_SLOW_EXIT}) {
    for (const std::vector<int>& signals : series) {
      GatewayProcess gateway(config, program);
      gateway.Signal(SIGTERM);
      EXPECT_EQ(gateway.SignalUntilExit(signals), 0) << program << ", first of the series: " << signals[0];
    }
  }
}

// The same of a gateway that cannot start: its status and its message are what the operator has to see.
TEST(GatewaySignals, KeepsTheStatusOfAFailedStart) {
  GatewayProcess gateway(std::string("{}"), API_GATEWAY_SLOW_EXIT, rlim_t{0});
  EXPECT_EQ(gateway.port, 0);
  EXPECT_EQ(gateway.SignalUntilExit({SIGTERM, SIGINT, SIGHUP}), 1);
}

}  // namespace
}  // namespace gateway::net
