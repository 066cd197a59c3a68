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

// Each response after SIGTERM ends its connection.
void ExpectLastResponse(TestConnection& connection) {
  HttpMessage response = connection.Read();
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.Header("Connection"), "close");
  EXPECT_TRUE(connection.AwaitEnd());
}

// A client has sent two requests at once when SIGTERM comes, and the first is answered after idle connections
// are closed. The second has been read: it is owed its response before the connection ends.
TEST(GracefulShutdown, AnswersAPipelinedRequestBeforeTheConnectionEnds) {
  Event arrived, released;
  StubBackend backend([&](const HttpMessage&, TestConnection&) {
    arrived.Add();
    released.Wait();
    return OkResponse("x");
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(MakeRequest("quote", 1, 3000) + MakeRequest("quote", 1, 3000));
  EXPECT_TRUE(arrived.Wait());
  fixture.gateway->Signal(SIGTERM);
  std::this_thread::sleep_for(std::chrono::milliseconds(700));  // past the time for arrivals
  released.Add();
  EXPECT_EQ(client->Read().status(), 200);
  HttpMessage second = client->Read();
  EXPECT_TRUE(second.complete);
  EXPECT_TRUE(second.status() == 200 || second.status() == 503) << "503: shed, as the first took so long";
  EXPECT_EQ(second.Header("Connection"), "close");
  EXPECT_TRUE(client->AwaitEnd());
}

// SIGTERM comes with one request in flight and another sent by half. Both have to be finished, and so has a
// request on a connection that comes after the signal. Each response ends its connection, and the process
// exits with 0.
TEST(GracefulShutdown, FinishesRequestsInFlightAndServesLateArrivals) {
  Event arrived, released;
  StubBackend backend([&](const HttpMessage&, TestConnection&) {
    arrived.Add();
    released.Wait();
    return OkResponse("x");
  });
  StubBackend other([&](const HttpMessage& request, TestConnection&) {
    return arrived.Add(), released.Wait(), OkResponse(request.body);
  });
  GatewayFixture fixture(
      json::array({EndpointEntry("s1", backend.port()), EndpointEntry("s2", other.port())}));
  auto client = fixture.gateway->Connect(), later = fixture.gateway->Connect();
  client->Write(MakeRequest("send-lead", 1, 3000));
  EXPECT_TRUE(arrived.Wait());
  std::string begun = MakeRequest("save-scenario");
  later->Write(begun.substr(0, 50));
  fixture.gateway->Signal(SIGTERM);
  auto probe = fixture.gateway->Connect();
  for (int i = 0; i < 3000 && Exchange(*probe, kReadinessRequest).status() == 200; ++i) {
  }
  // One on a new connection, one on a connection from before. Where the gateway's closing of idle connections
  // crosses the request, it is sent once more on another, as clients do.
  later->Write(begun.substr(50));
  EXPECT_TRUE(arrived.Wait(2));
  std::unique_ptr<TestConnection> fresh;
  for (int i = 0; i < 50 && arrived.count() < 3; ++i) {
    fresh = fixture.gateway->Connect();
    fresh->Write(MakeRequest("save-scenario"));
    while (arrived.count() < 3 && fresh->IsOpen()) std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  ASSERT_NE(fresh, nullptr);
  released.Add();
  for (TestConnection* connection : {client.get(), fresh.get(), later.get()}) ExpectLastResponse(*connection);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
}

// The last part of a request comes late after SIGTERM, on a connection that stayed open, and its own time is
// far longer than what is left until SIGKILL. It is forwarded with a shorter time-out and has its response
// before that.
TEST(GracefulShutdown, AnswersALateRequestBeforeSigkill) {
  Event given_up;
  StubBackend backend(NeverResponds(&given_up));
  json config = ConfigJson(0, 0);
  config["settings"]["request-classes"][2]["hard-limit-s"] = 50.0;
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  auto client = fixture.gateway->Connect();
  std::string request = MakeRequest("send-lead", 1, 50000);
  client->Write(request.substr(0, 50));
  Exchange(*fixture.gateway->Connect(), kReadinessRequest);
  auto idle = fixture.gateway->Connect();
  fixture.gateway->Signal(SIGTERM);
  EXPECT_TRUE(idle->AwaitEnd());  // from now on requests are only finished
  client->Write(request.substr(50));
  EXPECT_EQ(client->Read().status(), 502);
  EXPECT_LE(std::atoi(backend.request(0).Header("Request-Timeout-Ms").c_str()), 3700);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
}

void ExpectUnreadRequestsServed(bool late) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto kept = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*kept, kReadinessRequest).status(), 200);
  auto probe = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*probe, kReadinessRequest).status(), 200);
  if (late) {
    fixture.gateway->Signal(SIGTERM);
    while (Exchange(*probe, kReadinessRequest).status() == 200) {
    }
  }
  fixture.gateway->Signal(SIGSTOP);
  auto fresh = fixture.gateway->Connect();
  kept->Write(MakeRequest("send-lead"));
  fresh->Write(MakeRequest("send-lead"));
  if (late) std::this_thread::sleep_for(std::chrono::milliseconds(600));  // the time is over meanwhile
  fixture.gateway->Signal(SIGTERM);
  fixture.gateway->Signal(SIGCONT);
  EXPECT_EQ(kept->Read().status(), 200) << late;
  EXPECT_EQ(fresh->Read().status(), 200) << late;
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
}

// Requests are in the accept queue, or unread on an idle connection, when SIGTERM is seen or when the time to
// go on accepting is over. The gateway must serve them: their clients cannot know that it is shutting down.
// The process is stopped meanwhile, so that all of them are there when it looks.
TEST(GracefulShutdown, ServesUnreadRequestsAtSigtermAndWhenAcceptingEnds) {
  for (bool late : {false, true}) ExpectUnreadRequestsServed(late);
}

// SIGTERM comes while a response is written by half, as its client reads nothing for a while. It gets the
// rest before the process exits.
TEST(GracefulShutdown, CompletesAResponseThatIsBeingWritten) {
  std::string body(size_t{64} * 1024, 'b');
  StubBackend backend(RespondsWith(OkResponse(body)));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  sockaddr_in at;
  int fd = OpenLoopbackSocket(&at, fixture.gateway->port), tiny = 2048;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &tiny, sizeof(tiny));
  ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
  TestConnection client(fd);
  client.Write(MakeRequest("send-lead"));
  pollfd ready{fd, POLLIN, 0};
  EXPECT_GT(poll(&ready, 1, 1000 * kWaitTimeoutS), 0);  // the response has begun
  fixture.gateway->Signal(SIGTERM);
  auto idle = fixture.gateway->Connect();
  EXPECT_TRUE(idle->AwaitEnd());  // the time to go on accepting is over
  EXPECT_EQ(client.Read().body.size(), body.size());
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
}

}  // namespace
}  // namespace gateway::net
