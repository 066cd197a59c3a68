// A running gateway and the counter.
#include <chrono>
#include <string>
#include <thread>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// The counter is silent, rejects each call, or answers with garbage. Requests within the quota still have to
// be served, while calls go on.
TEST(GatewayCounter, ServesWhileTheCounterFails) {
  for (std::string answer :
       {"", "-BUSY full\r\n", "-ERR no\r\n", "garbage\r\n", "$999999999\r\n", "$3\r\nabc\r\n"}) {
    StubBackend backend(RespondsWith(OkResponse("x")));
    StubDiscovery discovery;
    discovery.Set(json::array({EndpointEntry("s1", backend.port())}));
    StubCounter counter([&](const std::string&, double) { return answer; });
    GatewayProcess gateway(ConfigJson(discovery.port(), counter.port()));
    EXPECT_TRUE(discovery.AwaitApplied());
    auto client = gateway.Connect();
    for (int i = 0; i < 8; ++i) EXPECT_EQ(Exchange(*client, MakeRequest("quote", 2)).status(), 200) << answer;
    EXPECT_GT(counter.calls.count(), 0) << answer;
  }
}

// A loaded counter answers a call after its time-out in the settings, with a total that is used up. The late
// total has to count all the same; dropped, the tenant would go on beyond its quota.
TEST(GatewayCounter, UsesATotalThatComesAfterItsTimeout) {
  Event answered;
  StubCounter slow([&](const std::string&, double) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    answered.Add();
    return BulkString("100000");
  });
  StubBackend backend(RespondsWith(OkResponse("x")));
  StubDiscovery discovery;
  discovery.Set(json::array({EndpointEntry("s1", backend.port())}));
  json config = ConfigJson(discovery.port(), slow.port());
  config["settings"]["specifics"]["counter-timeout-s"] = 1.0;
  config["settings"]["tiers-of-service"][0]["store-size"] = 12000;  // a window of 1,000 s
  GatewayProcess gateway(config);
  EXPECT_TRUE(discovery.AwaitApplied());
  auto client = gateway.Connect();
  EXPECT_EQ(Exchange(*client, MakeRequest("quote", 2)).status(), 200);
  EXPECT_TRUE(answered.Wait());
  int status = 0;
  for (int i = 0; i < 40 && status != 429; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(25));
    status = Exchange(*client, MakeRequest("quote", 2)).status();
  }
  EXPECT_EQ(status, 429) << "others have used all that there is";
}

}  // namespace
}  // namespace gateway::net
