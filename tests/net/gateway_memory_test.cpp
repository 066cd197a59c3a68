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

}  // namespace
}  // namespace gateway::net
