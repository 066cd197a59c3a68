// Tests that a running gateway stays within its memory limit, whatever its clients and backends send.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

constexpr int kMemoryLimitMb = 32;

json ConfigWithMemoryLimit() {
  json config = ConfigJson(0, 0);
  config["limits"]["memory_mb"] = kMemoryLimitMb;
  return config;
}

std::string ShortFields(int count) {
  std::string fields;
  for (int i = 0; i < count; ++i) fields.append("a:\r\n");
  return fields;
}

// Nearly as many clients as the gateway admits send a head of very many short fields each and most of a body,
// and stop. A parsed field takes some twenty times the memory of its bytes, so that the
// process passed its limit and would be killed.
TEST(GatewayMemory, StaysWithinItsLimitWhenClientsSendVeryManyFields) {
  constexpr int kClients = 95;
  constexpr int kFields = 3800;
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), ConfigWithMemoryLimit());
  std::vector<std::unique_ptr<TestConnection>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(fixture.gateway->Connect());
    clients.back()->Write(
        MakeRequest("send-lead", 1, 3000, ShortFields(kFields) + "Content-Length: 60000\r\n") +
        std::string(59999, 'b'));
  }
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), kReadinessRequest).status(), 200);
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
  EXPECT_LT(fixture.gateway->PeakResidentMb(), kMemoryLimitMb);
}

// Sends `count` requests of the class that cost `cost_units`, each under a name and an id of its own, and
// reads their responses. Returns how many of them have the status.
int SendUnderEverNewNames(TestConnection* client, int count, const std::string& cost_units, int status) {
  constexpr int kRequestsAtOnce = 100;
  const std::string cost = "units=1,";
  int found = 0;
  for (int sent = 0; sent < count; sent += kRequestsAtOnce) {
    std::string requests;
    for (int i = 0; i < kRequestsAtOnce; ++i) {
      std::string request = ForTenant(sent + i, MakeRequest("quote"));
      requests += request.replace(request.find(cost), cost.size(), "units=" + cost_units + ",");
    }
    client->Write(requests);
    for (int i = 0; i < kRequestsAtOnce; ++i) found += client->Read().status() == status;
  }
  return found;
}

// One client sends requests at full speed under ever new names, each of which is over its quota. The table of
// tenants kept each name for ten seconds or more, so that the memory grew by 290 bytes with each request
// (picture (b) of "What the review found").
TEST(GatewayMemory, StaysWithinItsLimitWhenAClientSendsUnderEverNewNames) {
  constexpr int kRequests = 150000;
  json config = ConfigWithMemoryLimit();
  config["settings"]["tiers-of-service"][0]["store-size"] = 4.0;
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(SendUnderEverNewNames(client.get(), kRequests, "8", 429), kRequests);
  EXPECT_LT(fixture.gateway->PeakResidentMb(), kMemoryLimitMb);
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
}

}  // namespace
}  // namespace gateway::net
