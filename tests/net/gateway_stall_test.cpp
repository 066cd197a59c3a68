// Tests of a running gateway whose process is stalled.
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

// Deadlines and latency objectives are far above the latencies on a loaded machine, so that only the stall
// can exceed them.
json ConfigWithLongObjectives() {
  json config = ConfigJson(0, 0);
  for (json& cls : config["settings"]["request-classes"]) {
    cls["aim-s"] = 4.0;
    cls["hard-limit-s"] = 30.0;
  }
  return config;
}

// Returns a request of the tenant with this number. Tests use each tenant once, so that none is over quota.
std::string RequestOfTenant(int tenant, int timeout_ms = 30000) {
  return ForTenant(tenant, MakeRequest("quote", 1, timeout_ms));
}

// A gateway with requests in flight, whose backends respond when the test releases them.
struct StallFixture {
  StallFixture(int requests, int timeout_ms) {
    for (int i = 0; i < requests; ++i) {
      clients.push_back(fixture.gateway->Connect());
      clients.back()->Write(RequestOfTenant(i, timeout_ms));
    }
    EXPECT_TRUE(backend.requests.Wait(requests));
  }
  // Stops the process for `duration`. The backends respond `response_delay` after it was stopped, and the
  // process cannot read the responses until the stall ends.
  void StallWhileBackendsRespond(std::chrono::milliseconds response_delay,
                                 std::chrono::milliseconds duration) {
    fixture.gateway->Signal(SIGSTOP);
    std::this_thread::sleep_for(response_delay);
    released.Add();
    std::this_thread::sleep_for(duration - response_delay);
    fixture.gateway->Signal(SIGCONT);
  }
  int CountOkResponses() {
    int ok_count = 0;
    for (auto& client : clients) ok_count += client->Read().status() == 200 ? 1 : 0;
    return ok_count;
  }
  static json Endpoints(int port) {
    constexpr int kBackends = 200;
    json endpoints = json::array();
    for (int i = 0; i < kBackends; ++i) endpoints.push_back(EndpointEntry(std::to_string(i), port));
    return endpoints;
  }

  Event released;
  StubBackend backend{[this](const HttpMessage&, TestConnection&) {
    released.Wait();
    return OkResponse("x");
  }};
  GatewayFixture fixture{Endpoints(backend.port()), ConfigWithLongObjectives()};
  std::vector<std::unique_ptr<TestConnection>> clients;
};

// The process is stalled (by SIGSTOP, by a migration of its virtual machine, or by other processes on its
// core) while attempts are in flight. Their responses are read late and all at once. If the gateway took the
// backends to be slow, it would reject most requests of the next seconds, although every backend responds at
// once.
TEST(GatewayStall, RejectsNothingAfterAStallWhenBackendsAreHealthy) {
  constexpr int kInFlight = 60;
  constexpr int kLaterRequests = 200;
  StallFixture stall(kInFlight, 30000);
  stall.StallWhileBackendsRespond(std::chrono::milliseconds(0), std::chrono::milliseconds(2500));
  EXPECT_EQ(stall.CountOkResponses(), kInFlight);
  for (int i = 0; i < kLaterRequests; ++i) {
    HttpMessage response = Exchange(*stall.clients[0], RequestOfTenant(kInFlight + i));
    ASSERT_EQ(response.status(), 200) << "request " << i << " after the stall";
  }
}

// The stall lasts past the deadline of requests whose responses arrived in time. They are more than the event
// loop takes from the kernel in one turn, and a timer was due before they arrived. When the process resumes,
// every time-out is due and every response is readable: a time-out that is handled first would discard a
// response that is there.
TEST(GatewayStall, ForwardsResponsesThatArrivedBeforeTheDeadline) {
  constexpr int kInFlight = 300;
  StallFixture stall(kInFlight, 4000);
  stall.StallWhileBackendsRespond(std::chrono::milliseconds(1000), std::chrono::milliseconds(4200));
  EXPECT_EQ(stall.CountOkResponses(), kInFlight);
}

}  // namespace
}  // namespace gateway::net
