// A running gateway whose log nobody reads.
#include <csignal>
#include <regex>
#include <sstream>
#include <string>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

constexpr int kRounds = 200;  // a line each: more than the least pipe takes

// Each line of a log that came whole begins with one of the events that these tests bring about.
void ExpectWholeLines(const std::string& log) {
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    bool known = false;
    for (const char* event : {"configuration_reloaded applied=addresses", "log_resumed log_lines_dropped=",
                              "discovery_silent ", "gateway_ready ", "shutdown_started", "requests_ended "}) {
      known = known || line.rfind(event, 0) == 0;
    }
    EXPECT_TRUE(known) << line;
  }
}

// Has the gateway write more lines than a pipe of the least size holds, and serve a request after each.
void ExpectServesThroughReloads(GatewayProcess* gateway, TestConnection* client) {
  for (int i = 0; i < kRounds; ++i) {
    gateway->Signal(SIGHUP);
    ASSERT_TRUE(Exchange(*client, kReadinessRequest).complete) << "round " << i;
  }
}

// A log collector hangs: the pipe of the gateway's standard error fills up. A gateway that waited in the
// write of a line would answer nobody from then on, in the whole fleet at once.
TEST(GatewayLog, GoesOnServingWhileNobodyReadsIt) {
  GatewayProcess gateway(ConfigJson(UnusedPort(), UnusedPort()), API_GATEWAY, rlim_t{0},
                         LogReading::kFirstLine);
  std::unique_ptr<TestConnection> client = gateway.Connect();
  ASSERT_NO_FATAL_FAILURE(ExpectServesThroughReloads(&gateway, client.get()));
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.AwaitExit(), 0);
  ExpectWholeLines(gateway.log);
}

// The collector comes back: how many lines it has missed is told, and what follows is there again.
TEST(GatewayLog, TellsHowManyLinesWereDropped) {
  GatewayProcess gateway(ConfigJson(UnusedPort(), UnusedPort()), API_GATEWAY, rlim_t{0},
                         LogReading::kFirstLine);
  std::unique_ptr<TestConnection> client = gateway.Connect();
  ASSERT_NO_FATAL_FAILURE(ExpectServesThroughReloads(&gateway, client.get()));
  EXPECT_TRUE(gateway.ReadLogUntil("log_resumed log_lines_dropped="));
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.AwaitExit(), 0);
  ExpectWholeLines(gateway.log);
  size_t resumed = gateway.log.find("log_resumed log_lines_dropped=");
  ASSERT_NE(resumed, std::string::npos) << gateway.log;
  EXPECT_NE(gateway.log.find("shutdown_started", resumed), std::string::npos) << gateway.log;
}

// A start that does not go on leaves its log alone as evidence: which process it was, when it listened,
// whether it became ready, and whether it computed or stood still meanwhile.
TEST(GatewayLog, TellsTheTimesOfListeningAndOfReadiness) {
  GatewayFixture fixture(json::array());
  const std::string pid = std::to_string(fixture.gateway->pid());
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  const std::string times = "monotonic_s=[0-9.]+ system_s=[0-9.]+ cpu_s=[0-9.]+";
  const std::regex listening("gateway_listening name=.+ address=.+:[0-9]+ pid=" + pid + " " + times);
  EXPECT_TRUE(std::regex_match(fixture.gateway->first_line, listening)) << fixture.gateway->first_line;
  const std::regex ready("(^|\n)gateway_ready " + times + "\n");
  EXPECT_TRUE(std::regex_search(fixture.gateway->log, ready)) << fixture.gateway->log;
}

}  // namespace
}  // namespace gateway::net
