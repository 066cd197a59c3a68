// Tests of a running gateway's exchange with discovery.
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

// Waits until the gateway has applied the latest endpoint list, and returns the body of a request's response.
std::string BodyByLatestList(GatewayFixture& fixture, TestConnection& client) {
  EXPECT_TRUE(fixture.discovery.AwaitApplied());
  return Exchange(client, MakeRequest("quote")).body;
}

// Backends are added, are removed, change their address and drain, in full lists and in changes. One answer
// of discovery is malformed and has to leave the endpoint list as it is. A gateway that applied one of these
// wrongly would forward requests to the wrong backends.
TEST(GatewayDiscovery, AppliesEndpointListsAndChanges) {
  StubBackend one(RespondsWith(OkResponse("one"))), two(RespondsWith(OkResponse("two")));
  GatewayFixture fixture(json::array({EndpointEntry("a", one.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(BodyByLatestList(fixture, *client), "one");
  fixture.discovery.Set(json::array({EndpointEntry("b", two.port())}));
  EXPECT_EQ(BodyByLatestList(fixture, *client), "two")
      << "a backend that a full list does not name was not removed";
  fixture.discovery.Set(json::array({EndpointEntry("b", one.port())}));
  EXPECT_EQ(BodyByLatestList(fixture, *client), "one") << "a changed address was not applied";
  fixture.discovery.Set(
      json::array({EndpointEntry("a", two.port()), EndpointEntry("b", one.port(), "leaving")}), false,
      json::array({EndpointEntry("a", two.port()), EndpointEntry("b", one.port(), "leaving")}));
  EXPECT_EQ(BodyByLatestList(fixture, *client), "two") << "a draining backend got a new request";
  fixture.discovery.Set(json::array({EndpointEntry("a", two.port())}), true, {}, "no list");
  EXPECT_EQ(BodyByLatestList(fixture, *client), "two")
      << "a malformed answer was applied, or the list was not polled again";
}

// A discovery agent that lists one backend, never answers the first watch, and then lists another backend.
class HangingAgent {
 public:
  HangingAgent(int first_port, int later_port)
      : first_port_(first_port), later_port_(later_port), server_([this](TestConnection& connection) {
          while (AnswerPoll(connection)) {
          }
        }) {}
  int port() const { return server_.port(); }
  void Stop() { server_.Stop(); }
  std::atomic<int> wait_ms{0};  // `wait_ms` of the first watch
  Event watch_renewed;          // reported at the watch that follows the later list

 private:
  // Returns false if no further poll can arrive on the connection.
  bool AnswerPoll(TestConnection& connection) {
    HttpMessage request = connection.Read();
    if (!request.complete) return false;
    int poll = ++polls_;
    if (poll == 2) {
      size_t wait_offset = request.head.find("wait_ms=");
      if (wait_offset != std::string::npos) wait_ms = std::atoi(request.head.c_str() + wait_offset + 8);
      connection.AwaitEnd();
      return false;
    }
    if (poll > 3) watch_renewed.Add();
    json endpoint = poll == 1 ? EndpointEntry("a", first_port_) : EndpointEntry("b", later_port_);
    json list = {{"index", poll}, {"snapshot", true}, {"endpoints", json::array({endpoint})}};
    connection.Write(OkResponse(list.dump()));
    if (poll > 3) connection.AwaitEnd();
    return poll <= 3;
  }

  const int first_port_, later_port_;
  std::atomic<int> polls_{0};
  StubServer server_;
};

// The connection to the agent hangs: a watch is open and never answered. The gateway counts as notified of a
// change once the agent has it, so it has to give up the watch and renew it well within a draining backend's
// grace.
TEST(GatewayDiscovery, RenewsAWatchThatGoesSilent) {
  StubBackend one(RespondsWith(OkResponse("one"))), two(RespondsWith(OkResponse("two")));
  StubCounter counter([](const std::string&, double) { return BulkString("0"); });
  HangingAgent agent(one.port(), two.port());
  GatewayProcess gateway(ConfigJson(agent.port(), counter.port()));
  EXPECT_TRUE(agent.watch_renewed.Wait());
  EXPECT_EQ(Exchange(*gateway.Connect(), MakeRequest("quote")).body, "two");
  EXPECT_GT(agent.wait_ms, 0);
  EXPECT_LE(agent.wait_ms, 2000);
  agent.Stop();
}

// The gateway starts while discovery does not answer. It has to serve by the cached endpoint list of its
// configuration, and report itself ready after its first poll has failed.
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
    if (Exchange(*client, kReadinessRequest).status() == 200) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(Exchange(*client, kReadinessRequest).status(), 200);
}

// A hundred gateways start at once with a long cached endpoint list, while discovery is silent or refuses
// connections. Each has to become ready by its cached list: readiness may wait only until the first poll has
// failed.
TEST(GatewayDiscovery, BecomesReadyWithoutDiscoveryWhenManyStartAtOnce) {
  constexpr size_t kGateways = 100, kCachedEndpoints = 2000;
  json cached = json::array();
  for (size_t i = 0; i < kCachedEndpoints; ++i) cached.push_back(EndpointEntry(std::to_string(i), 9));
  StubDiscovery silent;
  silent.SetSilent(true);
  std::string configs[] = {ConfigJson(silent.port(), UnusedPort(), cached).dump(),
                           ConfigJson(UnusedPort(), UnusedPort(), cached).dump()};
  std::vector<std::unique_ptr<GatewayProcess>> gateways(kGateways);
  std::vector<std::thread> starting;
  for (size_t i = 0; i < kGateways; ++i) {
    starting.emplace_back(
        [&, i] { gateways[i] = std::make_unique<GatewayProcess>(configs[i % 2], API_GATEWAY, rlim_t{0}); });
  }
  for (std::thread& start : starting) start.join();
  for (auto& gateway : gateways) {
    ASSERT_NE(gateway->port, 0) << gateway->first_line;
    auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
    auto probe = gateway->Connect();
    int status = 0;
    while (status != 200 && std::chrono::steady_clock::now() < give_up_at) {
      status = Exchange(*probe, kReadinessRequest).status();
    }
    EXPECT_EQ(status, 200);
  }
  for (auto& gateway : gateways) gateway->Signal(SIGTERM);  // all at once, as each takes 0.5 s to exit
}

}  // namespace
}  // namespace gateway::net
