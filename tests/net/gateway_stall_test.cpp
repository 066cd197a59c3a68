// A running gateway whose process is held up.
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// Deadlines and latency objectives far above what a loaded machine takes, so that only the hold is long.
json ConfigWithLongObjectives() {
  json config = ConfigJson(0, 0);
  for (json& cls : config["settings"]["request-classes"]) {
    cls["aim-s"] = 4.0;
    cls["hard-limit-s"] = 30.0;
  }
  return config;
}

// A request of a tenant of its own, so that no quota is touched.
std::string RequestOfTenant(int tenant) {
  std::string request = MakeRequest("quote", 1, 30000);
  std::string cookie = "client=00000000b4d65521";
  std::string own_cookie = "client=00000000";
  own_cookie += std::to_string(10000000 + tenant);
  return request.replace(request.find(cookie), cookie.size(), own_cookie);
}

// The process stands still (SIGSTOP, a virtual machine that moves, a core that others take) while attempts
// are in flight. Their answers are read late, at once. Taken for slow backends, they would make the gateway
// reject most of what comes for seconds after, though every backend answers at once.
TEST(GatewayStall, RejectsNothingAfterAHoldBeforeWellBackends) {
  constexpr int kHeld = 60;
  constexpr int kAfter = 200;
  Event released;
  StubBackend backend([&](const HttpMessage&, TestConnection&) {
    released.Wait();
    return OkResponse("x");
  });
  json backends = json::array();
  for (int i = 0; i < 40; ++i) backends.push_back(EndpointEntry(std::to_string(i), backend.port()));
  GatewayFixture fixture(backends, ConfigWithLongObjectives());
  std::vector<std::unique_ptr<TestConnection>> clients;
  for (int i = 0; i < kHeld; ++i) {
    clients.push_back(fixture.gateway->Connect());
    clients.back()->Write(RequestOfTenant(i));
  }
  ASSERT_TRUE(backend.requests.Wait(kHeld));
  fixture.gateway->Signal(SIGSTOP);
  released.Add();  // the backends answer at once, into the sockets of a gateway that does not read
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  fixture.gateway->Signal(SIGCONT);
  int answered = 0;
  for (auto& client : clients) answered += client->Read().status() == 200 ? 1 : 0;
  EXPECT_EQ(answered, kHeld);
  for (int i = 0; i < kAfter; ++i) {
    ASSERT_EQ(Exchange(*clients[0], RequestOfTenant(kHeld + i)).status(), 200) << "request " << i << " after";
  }
}

}  // namespace
}  // namespace gateway::net
