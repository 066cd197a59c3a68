// A running gateway after SIGTERM.
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// SIGTERM comes with one request in flight and another sent by half. Both have to be finished, and so has a
// request on a connection that comes after the signal. Each response ends its connection, and the process
// exits with 0.
TEST(GracefulShutdown, FinishesRequestsInFlightAndServesLateArrivals) {
  Event arrived, released;
  Backend backend([&](const Message&, Wire&) {
    arrived.Add();
    released.Wait();
    return Ok("x");
  });
  Backend other(
      [&](const Message& request, Wire&) { return arrived.Add(), released.Wait(), Ok(request.body); });
  Site site(json::array({Entry("s1", backend.port()), Entry("s2", other.port())}));
  auto client = site.gateway->Connect(), later = site.gateway->Connect();
  client->Write(Request("send-lead", 1, 3000));
  EXPECT_TRUE(arrived.Wait());
  std::string begun = Request("save-scenario");
  later->Write(begun.substr(0, 50));
  site.gateway->Signal(SIGTERM);
  auto probe = site.gateway->Connect();
  for (int i = 0; i < 3000 && Ask(*probe, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200; ++i) {
  }
  // One on a new connection, one on a connection from before. Where the gateway's closing of idle connections
  // crosses the request, it is sent once more on another, as clients do.
  later->Write(begun.substr(50));
  EXPECT_TRUE(arrived.Wait(2));
  std::unique_ptr<Wire> fresh;
  for (int i = 0; i < 50 && arrived.count() < 3; ++i) {
    fresh = site.gateway->Connect();
    fresh->Write(Request("save-scenario"));
    while (arrived.count() < 3 && fresh->Open()) std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  ASSERT_NE(fresh, nullptr);
  released.Add();
  for (Wire* wire : {client.get(), fresh.get(), later.get()}) {
    Message response = wire->Read();
    EXPECT_EQ(response.status(), 200);
    EXPECT_EQ(response.Header("Connection"), "close");
    EXPECT_TRUE(wire->Ended());
  }
  EXPECT_EQ(site.gateway->Exit(), 0);
}

}  // namespace
}  // namespace gateway::net
