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
  Backend one(Says(Ok("one"))), two(Says(Ok("two")));
  Site site(json::array({Entry("a", one.port())}));
  auto client = site.gateway->Connect();
  auto next_body = [&] {
    EXPECT_TRUE(site.discovery.Told());
    return Ask(*client, Request("quote")).body;
  };
  EXPECT_EQ(next_body(), "one");
  site.discovery.Set(json::array({Entry("b", two.port())}));
  EXPECT_EQ(next_body(), "two") << "what a full list does not name is removed";
  site.discovery.Set(json::array({Entry("b", one.port())}));
  EXPECT_EQ(next_body(), "one") << "an address may change";
  site.discovery.Set(json::array({Entry("a", two.port()), Entry("b", one.port(), "leaving")}), false,
                     json::array({Entry("a", two.port()), Entry("b", one.port(), "leaving")}));
  EXPECT_EQ(next_body(), "two") << "a draining backend gets nothing new";
  site.discovery.Set(json::array({Entry("a", two.port())}), true, {}, "no list");
  EXPECT_EQ(next_body(), "two") << "garbage changes nothing, and the list is polled again";
}

// The connection to the agent hangs: a watch is open and never answered. What the agent has counts as
// notified all the same, so the watch has to be given up and renewed well before that costs a drain's grace.
TEST(GatewayDiscovery, RenewsAWatchThatGoesSilent) {
  Backend one(Says(Ok("one"))), two(Says(Ok("two")));
  std::atomic<int> polls{0}, wait_ms{0};
  Event renewed;
  Counter counter([](const std::string&, double) { return Bulk("0"); });
  Server agent([&](Wire& wire) {
    for (Message request = wire.Read(); request.whole; request = wire.Read()) {
      size_t wait = request.head.find("wait_ms=");
      int poll = ++polls;
      if (poll == 2 && wait != std::string::npos) wait_ms = std::atoi(request.head.c_str() + wait + 8);
      if (poll == 2) return void(wire.Ended());  // the first watch is never answered
      if (poll > 3) renewed.Add();
      json entries = json::array({poll == 1 ? Entry("a", one.port()) : Entry("b", two.port())});
      wire.Write(Ok(json{{"index", poll}, {"snapshot", true}, {"endpoints", entries}}.dump()));
      if (poll > 3) return void(wire.Ended());
    }
  });
  Process gateway(Config(agent.port(), counter.port()));
  EXPECT_TRUE(renewed.Wait());
  EXPECT_EQ(Ask(*gateway.Connect(), Request("quote")).body, "two");
  EXPECT_GT(wait_ms, 0);
  EXPECT_LE(wait_ms, 2000);
  agent.Stop();
}

// The gateway starts while discovery is down. It serves by the cached list of its configuration, and reports
// itself ready once its first poll has failed.
TEST(GatewayDiscovery, ServesByTheCachedListWhileDiscoveryIsSilent) {
  Backend backend(Says(Ok("x")));
  Discovery discovery;
  discovery.Silence(true);
  Counter counter([](const std::string&, double) { return Bulk("0"); });
  Process gateway(Config(discovery.port(), counter.port(), json::array({Entry("s1", backend.port())})));
  auto client = gateway.Connect();
  EXPECT_EQ(Ask(*client, Request("quote")).status(), 200);
  for (int i = 0; i < 3000; ++i) {
    if (Ask(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(Ask(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
}

// A hundred gateways start at once with a long cached list, while discovery is silent or refuses connections.
// Each has to become ready by its cached list: readiness waits for no more than the first poll to fail.
TEST(GatewayDiscovery, BecomesReadyWithoutDiscoveryWhenManyStartAtOnce) {
  constexpr size_t kProcesses = 100, kListed = 2000;
  json cached = json::array();
  for (size_t i = 0; i < kListed; ++i) cached.push_back(Entry(std::to_string(i), 9));
  Discovery silent;
  silent.Silence(true);
  std::string configs[] = {Config(silent.port(), DeadPort(), cached).dump(),
                           Config(DeadPort(), DeadPort(), cached).dump()};
  std::vector<std::unique_ptr<Process>> gateways(kProcesses);
  std::vector<std::thread> starting;
  for (size_t i = 0; i < kProcesses; ++i) {
    starting.emplace_back(
        [&, i] { gateways[i] = std::make_unique<Process>(configs[i % 2], API_GATEWAY, rlim_t{0}); });
  }
  for (std::thread& start : starting) start.join();
  for (auto& gateway : gateways) {
    ASSERT_NE(gateway->port, 0) << gateway->line;
    auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(kLimitS);
    auto probe = gateway->Connect();
    int status = 0;
    while (status != 200 && std::chrono::steady_clock::now() < limit) {
      status = Ask(*probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status();
    }
    EXPECT_EQ(status, 200);
  }
  for (auto& gateway : gateways) gateway->Signal(SIGTERM);  // each takes half a second to end
}

}  // namespace
}  // namespace gateway::net
