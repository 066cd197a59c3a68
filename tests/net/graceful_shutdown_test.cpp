// A running gateway after SIGTERM.
#include <poll.h>
#include <sys/socket.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
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

// The last part of a request comes late after SIGTERM, on a connection that stayed open, and its own time is
// far longer than what is left until SIGKILL. It is forwarded with a shorter time-out and has its response
// before that.
TEST(GracefulShutdown, AnswersALateRequestBeforeSigkill) {
  Event given_up;
  Backend backend(Hangs(&given_up));
  json config = Config(0, 0);
  config["settings"]["request-classes"][2]["hard-limit-s"] = 50.0;
  Site site(json::array({Entry("s1", backend.port())}), config);
  auto client = site.gateway->Connect();
  std::string request = Request("send-lead", 1, 50000);
  client->Write(request.substr(0, 50));
  Ask(*site.gateway->Connect(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
  auto idle = site.gateway->Connect();
  site.gateway->Signal(SIGTERM);
  EXPECT_TRUE(idle->Ended());  // from now on requests are only finished
  client->Write(request.substr(50));
  EXPECT_EQ(client->Read().status(), 502);
  EXPECT_LE(std::atoi(backend.request(0).Header("Request-Timeout-Ms").c_str()), 3700);
  EXPECT_EQ(site.gateway->Exit(), 0);
}

// Requests are in the accept queue, or unread on an idle connection, when SIGTERM is seen or when the time to
// go on accepting is over. The gateway must serve them: their clients cannot know that it is shutting down.
// The process is stopped meanwhile, so that all of them are there when it looks.
TEST(GracefulShutdown, ServesUnreadRequestsAtSigtermAndWhenAcceptingEnds) {
  for (bool late : {false, true}) {
    Backend backend(Says(Ok("x")));
    Site site(json::array({Entry("s1", backend.port())}));
    std::string ready = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";
    auto kept = site.gateway->Connect();
    EXPECT_EQ(Ask(*kept, ready).status(), 200);
    auto probe = site.gateway->Connect();
    EXPECT_EQ(Ask(*probe, ready).status(), 200);
    if (late) {
      site.gateway->Signal(SIGTERM);
      while (Ask(*probe, ready).status() == 200) {
      }
    }
    site.gateway->Signal(SIGSTOP);
    auto fresh = site.gateway->Connect();
    kept->Write(Request("send-lead"));
    fresh->Write(Request("send-lead"));
    if (late) std::this_thread::sleep_for(std::chrono::milliseconds(600));  // the time is over meanwhile
    site.gateway->Signal(SIGTERM);
    site.gateway->Signal(SIGCONT);
    EXPECT_EQ(kept->Read().status(), 200) << late;
    EXPECT_EQ(fresh->Read().status(), 200) << late;
    EXPECT_EQ(site.gateway->Exit(), 0);
  }
}

// SIGTERM comes while a response is written by half, as its client reads nothing for a while. It gets the
// rest before the process exits.
TEST(GracefulShutdown, CompletesAResponseThatIsBeingWritten) {
  std::string body(64 * 1024, 'b');
  Backend backend(Says(Ok(body)));
  Site site(json::array({Entry("s1", backend.port())}));
  sockaddr_in at;
  int fd = Loopback(&at, site.gateway->port), tiny = 2048;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &tiny, sizeof(tiny));
  ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
  Wire client(fd);
  client.Write(Request("send-lead"));
  pollfd ready{fd, POLLIN, 0};
  EXPECT_GT(poll(&ready, 1, 1000 * kLimitS), 0);  // the response has begun
  site.gateway->Signal(SIGTERM);
  auto idle = site.gateway->Connect();
  EXPECT_TRUE(idle->Ended());  // the time to go on accepting is over
  EXPECT_EQ(client.Read().body.size(), body.size());
  EXPECT_EQ(site.gateway->Exit(), 0);
}

}  // namespace
}  // namespace gateway::net
