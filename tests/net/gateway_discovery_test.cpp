// A running gateway and discovery.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// Backends come, go, change their address and drain, in full lists and in changes, and once discovery answers
// with garbage, which has to change nothing.
TEST(GatewayDiscovery, AppliesEndpointListsAndChanges) {
  StubBackend one(RespondsWith(OkResponse("one"))), two(RespondsWith(OkResponse("two")));
  GatewayFixture fixture(json::array({EndpointEntry("a", one.port())}));
  auto client = fixture.gateway->Connect();
  auto next_body = [&] {
    EXPECT_TRUE(fixture.discovery.AwaitApplied());
    return Exchange(*client, MakeRequest("quote")).body;
  };
  EXPECT_EQ(next_body(), "one");
  fixture.discovery.Set(json::array({EndpointEntry("b", two.port())}));
  EXPECT_EQ(next_body(), "two") << "what a full list does not name is removed";
  fixture.discovery.Set(json::array({EndpointEntry("b", one.port())}));
  EXPECT_EQ(next_body(), "one") << "an address may change";
  fixture.discovery.Set(
      json::array({EndpointEntry("a", two.port()), EndpointEntry("b", one.port(), "leaving")}), false,
      json::array({EndpointEntry("a", two.port()), EndpointEntry("b", one.port(), "leaving")}));
  EXPECT_EQ(next_body(), "two") << "a draining backend gets nothing new";
  fixture.discovery.Set(json::array({EndpointEntry("a", two.port())}), true, {}, "no list");
  EXPECT_EQ(next_body(), "two") << "garbage changes nothing, and the list is polled again";
}

// The connection to the agent hangs: a watch is open and never answered. What the agent has counts as
// notified all the same, so the watch has to be given up and renewed well before that costs a drain's grace.
TEST(GatewayDiscovery, RenewsAWatchThatGoesSilent) {
  StubBackend one(RespondsWith(OkResponse("one"))), two(RespondsWith(OkResponse("two")));
  std::atomic<int> polls{0}, wait_ms{0};
  Event renewed;
  StubCounter counter([](const std::string&, double) { return BulkString("0"); });
  StubServer agent([&](TestConnection& connection) {
    for (HttpMessage request = connection.Read(); request.complete; request = connection.Read()) {
      size_t wait = request.head.find("wait_ms=");
      int poll = ++polls;
      if (poll == 2 && wait != std::string::npos) wait_ms = std::atoi(request.head.c_str() + wait + 8);
      if (poll == 2) return void(connection.AwaitEnd());  // the first watch is never answered
      if (poll > 3) renewed.Add();
      json entries =
          json::array({poll == 1 ? EndpointEntry("a", one.port()) : EndpointEntry("b", two.port())});
      connection.Write(OkResponse(json{{"index", poll}, {"snapshot", true}, {"endpoints", entries}}.dump()));
      if (poll > 3) return void(connection.AwaitEnd());
    }
  });
  GatewayProcess gateway(ConfigJson(agent.port(), counter.port()));
  EXPECT_TRUE(renewed.Wait());
  EXPECT_EQ(Exchange(*gateway.Connect(), MakeRequest("quote")).body, "two");
  EXPECT_GT(wait_ms, 0);
  EXPECT_LE(wait_ms, 2000);
  agent.Stop();
}

// The gateway starts while discovery is down. It serves by the cached list of its configuration, and reports
// itself ready once its first poll has failed.
TEST(GatewayDiscovery, ServesByTheCachedListWhileDiscoveryIsSilent) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  StubDiscovery discovery;
  discovery.SetSilent(true);
  StubCounter counter([](const std::string&, double) { return BulkString("0"); });
  GatewayProcess gateway(
      ConfigJson(discovery.port(), counter.port(), json::array({EndpointEntry("s1", backend.port())})));
  auto client = gateway.Connect();
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200);
  for (int i = 0; i < 3000; ++i) {
    if (Exchange(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(Exchange(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
}

// A hundred gateways start at once with a long cached list, while discovery is silent or refuses connections.
// Each has to become ready by its cached list: readiness waits for no more than the first poll to fail.
TEST(GatewayDiscovery, BecomesReadyWithoutDiscoveryWhenManyStartAtOnce) {
  constexpr size_t kProcesses = 100, kListed = 2000;
  json cached = json::array();
  for (size_t i = 0; i < kListed; ++i) cached.push_back(EndpointEntry(std::to_string(i), 9));
  StubDiscovery silent;
  silent.SetSilent(true);
  std::string configs[] = {ConfigJson(silent.port(), UnusedPort(), cached).dump(),
                           ConfigJson(UnusedPort(), UnusedPort(), cached).dump()};
  std::vector<std::unique_ptr<GatewayProcess>> gateways(kProcesses);
  std::vector<std::thread> starting;
  for (size_t i = 0; i < kProcesses; ++i) {
    starting.emplace_back(
        [&, i] { gateways[i] = std::make_unique<GatewayProcess>(configs[i % 2], API_GATEWAY, rlim_t{0}); });
  }
  for (std::thread& start : starting) start.join();
  for (auto& gateway : gateways) {
    ASSERT_NE(gateway->port, 0) << gateway->first_line;
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(kLimitS);
    auto probe = gateway->Connect();
    int status = 0;
    while (status != 200 && std::chrono::steady_clock::now() < limit) {
      status = Exchange(*probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
    }
    EXPECT_EQ(status, 200);
  }
  for (auto& gateway : gateways) gateway->Signal(SIGTERM);  // each takes half a second to end
}

}  // namespace
}  // namespace gateway::net
