// Tests of a running gateway's log, most of them while nobody reads it.
#include <csignal>
#include <map>
#include <regex>
#include <sstream>
#include <string>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

constexpr int kReloads = 200;  // each logs one line; together more than the smallest pipe holds

// Expects each line to be whole. A whole line begins with one of the events that these tests cause.
void ExpectWholeLines(const std::string& log) {
  std::istringstream lines(log);
  for (std::string line; std::getline(lines, line);) {
    bool is_known_event = false;
    for (const char* event : {"configuration_reloaded applied=addresses", "log_resumed log_lines_dropped=",
                              "discovery_silent ", "gateway_ready ", "shutdown_started", "requests_ended "}) {
      is_known_event = is_known_event || line.rfind(event, 0) == 0;
    }
    EXPECT_TRUE(is_known_event) << line;
  }
}

// Makes the gateway log more lines than the smallest pipe holds, and expects a response after each.
void ExpectServesThroughReloads(GatewayProcess* gateway, TestConnection* client) {
  for (int i = 0; i < kReloads; ++i) {
    gateway->Signal(SIGHUP);
    ASSERT_TRUE(Exchange(*client, kReadinessRequest).complete) << "reload " << i;
  }
}

// The log collector hangs, and the pipe that is the gateway's standard error fills up. A gateway that blocked
// while writing a line would respond to nobody from then on, and so would all gateways of that collector at
// the same time.
TEST(GatewayLog, KeepsServingWhileNobodyReadsTheLog) {
  GatewayProcess gateway(ConfigJson(UnusedPort(), UnusedPort()), API_GATEWAY, rlim_t{0},
                         LogReading::kFirstLine);
  std::unique_ptr<TestConnection> client = gateway.Connect();
  ASSERT_NO_FATAL_FAILURE(ExpectServesThroughReloads(&gateway, client.get()));
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.AwaitExit(), 0);
  ExpectWholeLines(gateway.log);
}

// The log collector reads again. The log has to say how many lines were dropped, and must contain the lines
// that follow; otherwise an operator would take a log with a gap for a complete one.
TEST(GatewayLog, ReportsHowManyLinesWereDropped) {
  GatewayProcess gateway(ConfigJson(UnusedPort(), UnusedPort()), API_GATEWAY, rlim_t{0},
                         LogReading::kFirstLine);
  std::unique_ptr<TestConnection> client = gateway.Connect();
  ASSERT_NO_FATAL_FAILURE(ExpectServesThroughReloads(&gateway, client.get()));
  EXPECT_TRUE(gateway.ReadLogUntil("log_resumed log_lines_dropped="));
  gateway.Signal(SIGTERM);
  EXPECT_EQ(gateway.AwaitExit(), 0);
  ExpectWholeLines(gateway.log);
  size_t resumed_offset = gateway.log.find("log_resumed log_lines_dropped=");
  ASSERT_NE(resumed_offset, std::string::npos) << gateway.log;
  EXPECT_NE(gateway.log.find("shutdown_started", resumed_offset), std::string::npos) << gateway.log;
}

// If a gateway's start hangs, its log is the only evidence. It has to tell which process it was, when the
// process listened, whether it became ready, and whether it used the processor or stood still in between.
TEST(GatewayLog, ReportsTheTimesOfListeningAndReadiness) {
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

// Backends send responses that cannot be used. Their clients get errors or wait for a retry, and an operator
// has to see in the log that the responses were the cause, and in what way they were unusable.
TEST(GatewayLog, ReportsWhyResponsesCouldNotBeUsed) {
  std::map<std::string, std::string> responses = {
      {"malformed", "garbage\r\n\r\n"},
      {"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
      {"end_in_doubt", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlength too small"}};
  for (const auto& [fault, response] : responses) {
    StubBackend backend([&text = response](const HttpMessage&, TestConnection& connection) {
      connection.Write(text);
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    Exchange(*fixture.gateway->Connect(), MakeRequest("send-lead"));
    fixture.gateway->Signal(SIGTERM);
    EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
    EXPECT_NE(fixture.gateway->log.find("responses_unusable " + fault + "=1 last_backend="),
              std::string::npos)
        << fixture.gateway->log;
  }
}

}  // namespace
}  // namespace gateway::net
