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
std::string RequestOfTenant(int tenant, int timeout_ms = 30000) {
  std::string request = MakeRequest("quote", 1, timeout_ms);
  std::string cookie = "client=00000000b4d65521";
  std::string own_cookie = "client=00000000";
  own_cookie += std::to_string(10000000 + tenant);
  return request.replace(request.find(cookie), cookie.size(), own_cookie);
}

// A gateway with requests in flight, whose backends answer when they are told to.
struct StallFixture {
  StallFixture(int requests, int timeout_ms) {
    for (int i = 0; i < requests; ++i) {
      clients.push_back(fixture.gateway->Connect());
      clients.back()->Write(RequestOfTenant(i, timeout_ms));
    }
    EXPECT_TRUE(backend.requests.Wait(requests));
  }
  // The backends answer after so long, into the sockets of a process that does not read until the hold ends.
  void HoldWhileBackendsAnswer(std::chrono::milliseconds answer_after, std::chrono::milliseconds duration) {
    fixture.gateway->Signal(SIGSTOP);
    std::this_thread::sleep_for(answer_after);
    released.Add();
    std::this_thread::sleep_for(duration - answer_after);
    fixture.gateway->Signal(SIGCONT);
  }
  int CountGoodAnswers() {
    int good = 0;
    for (auto& client : clients) good += client->Read().status() == 200 ? 1 : 0;
    return good;
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

// The process stands still (SIGSTOP, a virtual machine that moves, a core that others take) while attempts
// are in flight. Their answers are read late, at once. Taken for slow backends, they would make the gateway
// reject most of what comes for seconds after, though every backend answers at once.
TEST(GatewayStall, RejectsNothingAfterAHoldBeforeWellBackends) {
  constexpr int kHeld = 60;
  constexpr int kAfter = 200;
  StallFixture stall(kHeld, 30000);
  stall.HoldWhileBackendsAnswer(std::chrono::milliseconds(0), std::chrono::milliseconds(2500));
  EXPECT_EQ(stall.CountGoodAnswers(), kHeld);
  for (int i = 0; i < kAfter; ++i) {
    HttpMessage response = Exchange(*stall.clients[0], RequestOfTenant(kHeld + i));
    ASSERT_EQ(response.status(), 200) << "request " << i << " after";
  }
}

// The hold lasts past the deadline of requests whose answers came in time, more of them than the event loop
// takes from the system at once, and after a first timer was due. When it goes on, all time-outs are due, and
// all answers: a time-out that comes first would throw away an answer that is there.
TEST(GatewayStall, ForwardsAnswersThatCameBeforeTheDeadline) {
  constexpr int kHeld = 300;
  StallFixture stall(kHeld, 4000);
  stall.HoldWhileBackendsAnswer(std::chrono::milliseconds(1000), std::chrono::milliseconds(4200));
  EXPECT_EQ(stall.CountGoodAnswers(), kHeld);
}

}  // namespace
}  // namespace gateway::net
