// Tests of a gateway's graceful shutdown after SIGTERM.
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

// Expects a 200 response that ends its connection, as every response after SIGTERM does.
void ExpectLastResponse(TestConnection& connection) {
  HttpMessage response = connection.Read();
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.Header("Connection"), "close");
  EXPECT_TRUE(connection.AwaitEnd());
}

// A client has sent two requests at once when SIGTERM arrives, and the first gets its response only after the
// gateway has closed its idle connections. The second request has been read by then, so it has to get its
// response before the connection ends.
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
  std::this_thread::sleep_for(std::chrono::milliseconds(700));  // past the end of accepting
  released.Add();
  EXPECT_EQ(client->Read().status(), 200);
  HttpMessage second = client->Read();
  EXPECT_TRUE(second.complete);
  EXPECT_TRUE(second.status() == 200 || second.status() == 503)
      << "neither served nor rejected (503: the load shedder, as the first request took so long)";
  EXPECT_EQ(second.Header("Connection"), "close");
  EXPECT_TRUE(client->AwaitEnd());
}

// SIGTERM arrives with one request in flight and another partly sent. Both have to be served, and so has a
// request on a connection that is opened after the signal. Each response has to end its connection, and the
// process has to exit with status 0.
TEST(GracefulShutdown, FinishesRequestsInFlightAndServesLateArrivals) {
  Event arrived, released;
  StubBackend backend([&](const HttpMessage&, TestConnection&) {
    arrived.Add();
    released.Wait();
    return OkResponse("x");
  });
  StubBackend other_backend([&](const HttpMessage& request, TestConnection&) {
    return arrived.Add(), released.Wait(), OkResponse(request.body);
  });
  GatewayFixture fixture(
      json::array({EndpointEntry("s1", backend.port()), EndpointEntry("s2", other_backend.port())}));
  auto client = fixture.gateway->Connect(), partial = fixture.gateway->Connect();
  client->Write(MakeRequest("send-lead", 1, 3000));
  EXPECT_TRUE(arrived.Wait());
  std::string request = MakeRequest("save-scenario");
  partial->Write(request.substr(0, 50));
  fixture.gateway->Signal(SIGTERM);
  auto probe = fixture.gateway->Connect();
  for (int i = 0; i < 3000 && Exchange(*probe, kReadinessRequest).status() == 200; ++i) {
  }
  // Completes the partial request and sends another on a new connection. If the gateway closes that
  // connection as idle just before it reads the request, the request is sent again on another one, as clients
  // do.
  partial->Write(request.substr(50));
  EXPECT_TRUE(arrived.Wait(2));
  std::unique_ptr<TestConnection> fresh;
  for (int i = 0; i < 50 && arrived.count() < 3; ++i) {
    fresh = fixture.gateway->Connect();
    fresh->Write(MakeRequest("save-scenario"));
    while (arrived.count() < 3 && fresh->IsOpen()) std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  ASSERT_NE(fresh, nullptr);
  released.Add();
  for (TestConnection* each : {client.get(), fresh.get(), partial.get()}) ExpectLastResponse(*each);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
}

// The last part of a request arrives late after SIGTERM, on a connection that stayed open, and the request's
// time-out is far longer than the time left until the supervisor sends SIGKILL. The gateway has to forward it
// with a shorter time-out and respond before SIGKILL.
TEST(GracefulShutdown, AnswersALateRequestBeforeSigkill) {
  Event connection_closed;
  StubBackend backend(NeverResponds(&connection_closed));
  json config = ConfigJson(0, 0);
  config["settings"]["request-classes"][2]["hard-limit-s"] = 50.0;
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  auto client = fixture.gateway->Connect();
  std::string request = MakeRequest("send-lead", 1, 50000);
  client->Write(request.substr(0, 50));
  Exchange(*fixture.gateway->Connect(), kReadinessRequest);
  auto idle = fixture.gateway->Connect();
  fixture.gateway->Signal(SIGTERM);
  EXPECT_TRUE(idle->AwaitEnd());  // accepting has ended: only begun requests are served
  client->Write(request.substr(50));
  EXPECT_EQ(client->Read().status(), 502);
  EXPECT_LE(std::atoi(backend.request(0).Header("Request-Timeout-Ms").c_str()), 3700);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
}

// The gateway finds the unread requests when it stops accepting connections if `accepting_ends`, otherwise
// when it handles SIGTERM.
void ExpectUnreadRequestsServed(bool accepting_ends) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto idle_client = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*idle_client, kReadinessRequest).status(), 200);
  auto probe = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*probe, kReadinessRequest).status(), 200);
  if (accepting_ends) {
    fixture.gateway->Signal(SIGTERM);
    while (Exchange(*probe, kReadinessRequest).status() == 200) {
    }
  }
  fixture.gateway->Signal(SIGSTOP);
  auto fresh = fixture.gateway->Connect();
  idle_client->Write(MakeRequest("send-lead"));
  fresh->Write(MakeRequest("send-lead"));
  // Past the end of accepting.
  if (accepting_ends) std::this_thread::sleep_for(std::chrono::milliseconds(600));
  fixture.gateway->Signal(SIGTERM);
  fixture.gateway->Signal(SIGCONT);
  EXPECT_EQ(idle_client->Read().status(), 200) << "accepting ends: " << accepting_ends;
  EXPECT_EQ(fresh->Read().status(), 200) << "accepting ends: " << accepting_ends;
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
}

// Requests are unread on an idle connection, or on one in the accept queue, when the gateway handles SIGTERM
// or when it stops accepting connections. It must serve them, as their clients cannot know that it is
// shutting down. The test stops the process meanwhile, so that all requests have arrived when it resumes.
TEST(GracefulShutdown, ServesUnreadRequestsAtSigtermAndWhenAcceptingEnds) {
  for (bool accepting_ends : {false, true}) ExpectUnreadRequestsServed(accepting_ends);
}

// SIGTERM arrives while a response is partly written because its client reads nothing for a while. The client
// has to get the rest before the process exits.
TEST(GracefulShutdown, CompletesAResponseThatIsBeingWritten) {
  std::string body(size_t{64} * 1024, 'b');
  StubBackend backend(RespondsWith(OkResponse(body)));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  sockaddr_in address;
  int fd = OpenLoopbackSocket(&address, fixture.gateway->port), buffer_bytes = 2048;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
  ASSERT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  TestConnection client(fd);
  client.Write(MakeRequest("send-lead"));
  pollfd ready{fd, POLLIN, 0};
  EXPECT_GT(poll(&ready, 1, 1000 * kWaitTimeoutS), 0);  // the response has begun
  fixture.gateway->Signal(SIGTERM);
  auto idle = fixture.gateway->Connect();
  EXPECT_TRUE(idle->AwaitEnd());  // the gateway has stopped accepting connections
  EXPECT_EQ(client.Read().body.size(), body.size());
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
}

}  // namespace
}  // namespace gateway::net
