// Tests of a running gateway's calls to the counter.
#include <chrono>
#include <string>
#include <thread>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// The counter is silent, rejects each call, or sends malformed replies. Requests within the quota still have
// to be served, and the gateway has to go on calling the counter.
TEST(GatewayCounter, ServesWhileTheCounterFails) {
  for (std::string reply :
       {"", "-BUSY full\r\n", "-ERR no\r\n", "garbage\r\n", "$999999999\r\n", "$3\r\nabc\r\n"}) {
    StubBackend backend(RespondsWith(OkResponse("x")));
    StubDiscovery discovery;
    discovery.Set(json::array({EndpointEntry("s1", backend.port())}));
    StubCounter counter([&](const std::string&, double) { return reply; });
    GatewayProcess gateway(ConfigJson(discovery.port(), counter.port()));
    EXPECT_TRUE(discovery.AwaitApplied());
    auto client = gateway.Connect();
    for (int i = 0; i < 8; ++i) EXPECT_EQ(Exchange(*client, MakeRequest("quote", 2)).status(), 200) << reply;
    EXPECT_GT(counter.calls.count(), 0) << reply;
  }
}

// An overloaded counter replies later than the time-out in the settings, with a total that exceeds the quota.
// The late total has to be applied all the same: if it were dropped, the tenant could go on over quota.
TEST(GatewayCounter, AppliesATotalThatArrivesAfterTheTimeout) {
  Event replied;
  StubCounter slow_counter([&](const std::string&, double) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    replied.Add();
    return BulkString("100000");
  });
  StubBackend backend(RespondsWith(OkResponse("x")));
  StubDiscovery discovery;
  discovery.Set(json::array({EndpointEntry("s1", backend.port())}));
  json config = ConfigJson(discovery.port(), slow_counter.port());
  config["settings"]["specifics"]["counter-timeout-s"] = 1.0;
  config["settings"]["tiers-of-service"][0]["store-size"] = 12000;  // a window of 1,000 s
  GatewayProcess gateway(config);
  EXPECT_TRUE(discovery.AwaitApplied());
  auto client = gateway.Connect();
  EXPECT_EQ(Exchange(*client, MakeRequest("quote", 2)).status(), 200);
  EXPECT_TRUE(replied.Wait());
  int status = 0;
  for (int i = 0; i < 40 && status != 429; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
    status = Exchange(*client, MakeRequest("quote", 2)).status();
  }
  EXPECT_EQ(status, 429) << "the late total, which leaves no quota, was not applied";
}

}  // namespace
}  // namespace gateway::net
