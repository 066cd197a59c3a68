// A running gateway whose clients leave before their response: whatever comes first, nothing is sent for
// them.
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include "net/backend_connection_pool.h"
#include "net/clock.h"
#include "support/gateway_fixture.h"
#include "support/manual_listener.h"
#include "support/tcp_table.h"

namespace gateway::net {
namespace {

using namespace test_support;

// A counter whose replies wait until the test releases them.
struct DelayedCounter {
  Event called, released;
  StubCounter counter{[this](const std::string&, double) {
    called.Add();
    released.Wait();
    return BulkString("0");
  }};
};

void Leave(TestConnection& client, bool reset) {
  if (reset) return client.Reset();
  client.Close();
}

// A client leaves, by a close or a reset, while the connection for its attempt is still to come up. When that
// is up nobody waits for the request any more: nothing may be sent on it, whether or not the settings allow
// cancellation.
TEST(ClientLeft, WhileItsBackendConnectionComesUp) {
  for (bool reset : {false, true}) {
    for (bool cancel : {false, true}) {
      ManualListener backend(0);
      auto filler =
          TestConnection::ConnectTo(backend.port());  // holds the only place in the listener's queue
      json config = ConfigJson(0, 0);
      config["settings"]["limits"]["cancel"] = cancel;
      config["settings"]["limits"]["connect-timeout-s"] = 20.0;
      {
        GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
        auto client = fixture.gateway->Connect();
        client->Write(MakeRequest("send-lead", 1, 60000));
        AwaitConnecting(backend.port());
        Leave(*client, reset);
        // Frees the place, so that a connection that is still wanted comes up.
        auto taken = backend.Accept();
        AwaitConnecting(backend.port(), false);
      }
      EXPECT_EQ(backend.ReceiveAll(), "") << "reset " << reset << " cancel " << cancel;
    }
  }
}

void ExpectNothingSentAfterTheCounterReplies(bool reset) {
  DelayedCounter delayed;
  StubBackend backend(RespondsWith(OkResponse("x")));
  StubDiscovery discovery;
  discovery.Set(json::array({EndpointEntry("s1", backend.port())}));
  json config = ConfigJson(discovery.port(), delayed.counter.port());
  config["settings"]["specifics"]["counter-timeout-s"] = 5.0;
  config["settings"]["limits"]["cancel"] = false;
  config["settings"]["request-classes"][2]["hard-limit-s"] = 60.0;
  GatewayProcess gateway(config);
  EXPECT_TRUE(discovery.AwaitApplied());
  auto client = gateway.Connect();
  client->Write(MakeRequest("send-lead", 2, 60000));
  EXPECT_TRUE(delayed.called.Wait());
  EXPECT_EQ(backend.requests.count(), 0) << "the request waits";
  Leave(*client, reset);
  // When it answers on a later connection, the gateway has seen the end of this one.
  Exchange(*gateway.Connect(), kReadinessRequest);
  delayed.released.Add();
  EXPECT_EQ(Exchange(*gateway.Connect(), MakeRequest("quote", 1, 60000)).status(), 200);
  EXPECT_EQ(backend.requests.count(), 1) << "only the request that is still wanted";
}

// A client leaves while its request waits for the counter's reply. When that comes the request must not be
// forwarded.
TEST(ClientLeft, WhileItsRequestWaitsForTheCounter) {
  for (bool reset : {false, true}) ExpectNothingSentAfterTheCounterReplies(reset);
}

// In the tests below a client leaves while the gateway is busy, so that the end of the client waits behind
// another event that would begin an attempt. The process is stopped meanwhile, which brings the events into
// that order. Cancellation is forbidden, so that nothing but the look at the client before each attempt can
// keep it back.

// The request and the end of its client are both unread when the gateway goes on: it must not be forwarded.
TEST(ClientLeft, BeforeItsRequestIsRead) {
  for (bool reset : {false, true}) {
    StubBackend backend(RespondsWith(OkResponse("x")));
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}),
                           ConfigWithoutCancellation(0, 0));
    auto client = fixture.gateway->Connect();
    Exchange(*client, kReadinessRequest);
    fixture.gateway->Signal(SIGSTOP);
    client->Write(MakeRequest("quote", 1, 60000));
    Leave(*client, reset);
    fixture.gateway->Signal(SIGCONT);
    EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote", 1, 60000)).status(), 200);
    EXPECT_EQ(backend.requests.count(), 1) << "only the request that is still wanted; reset " << reset;
  }
}

// The counter's reply comes first, and the client's end stands behind more pipelined bytes than the gateway
// reads ahead.
TEST(ClientLeft, BehindPipelinedBytesWhileItsRequestWaitsForTheCounter) {
  DelayedCounter delayed;
  StubBackend backend(RespondsWith(OkResponse("x")));
  StubDiscovery discovery;
  discovery.Set(json::array({EndpointEntry("s1", backend.port())}));
  GatewayProcess gateway(ConfigWithoutCancellation(discovery.port(), delayed.counter.port()));
  EXPECT_TRUE(discovery.AwaitApplied());
  auto client = gateway.Connect();
  client->Write(MakeRequest("send-lead", 2, 60000));
  EXPECT_TRUE(delayed.called.Wait());
  client->Write(std::string(40000, 'G'));  // more than is read ahead
  Exchange(*gateway.Connect(), kReadinessRequest);
  gateway.Signal(SIGSTOP);
  delayed.released.Add();  // its reply comes first
  AwaitUnreadBytes({delayed.counter.port()});
  client->HalfClose();
  gateway.Signal(SIGCONT);
  EXPECT_EQ(Exchange(*gateway.Connect(), MakeRequest("quote", 1, 60000)).status(), 200);
  EXPECT_EQ(backend.requests.count(), 1) << "only the request that is still wanted";
}

// The connection for the attempt comes up first, the client's end after it.
TEST(ClientLeft, BehindTheConnectEventOfItsAttempt) {
  for (bool reset : {false, true}) {
    ManualListener backend(0);
    auto filler = TestConnection::ConnectTo(backend.port());
    {
      GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}),
                             ConfigWithoutCancellation(0, 0));
      auto client = fixture.gateway->Connect();
      client->Write(MakeRequest("quote", 1, 60000));
      AwaitConnecting(backend.port());
      fixture.gateway->Signal(SIGSTOP);
      auto taken = backend.Accept();
      AwaitConnecting(backend.port(), false);
      Leave(*client, reset);
      fixture.gateway->Signal(SIGCONT);
    }
    EXPECT_EQ(backend.ReceiveAll(), "") << "reset " << reset;
  }
}

// Two backends. A request for /connect is answered once there is one at each of them, and one for /fail with
// an error when the test releases it.
struct FailingBackends {
  // Opens one connection to each backend, by the clients' requests.
  void OpenConnections(TestConnection& client, TestConnection& other_client) {
    client.Write(MakeRequest("quote/connect", 1, 60000));
    other_client.Write(MakeRequest("quote/connect", 1, 60000));
    EXPECT_EQ(client.Read().status(), 200);
    EXPECT_EQ(other_client.Read().status(), 200);
    EXPECT_EQ(one.connections() + two.connections(), 2);
  }
  std::string Respond(const HttpMessage& request) {
    if (request.head.find("/connect ") != std::string::npos) {
      connected.Add();
      connected.Wait(2);
    }
    if (request.head.find("/fail ") == std::string::npos) return OkResponse("x");
    failing.Add();
    released.Wait();
    return "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
  }
  Event connected, released, failing;
  StubBackend one{[this](const HttpMessage& request, TestConnection&) { return Respond(request); }};
  StubBackend two{[this](const HttpMessage& request, TestConnection&) { return Respond(request); }};
};

void ExpectNoRetryAfterTheFailure(bool reset) {
  FailingBackends backends;
  GatewayFixture fixture(
      json::array({EndpointEntry("s1", backends.one.port()), EndpointEntry("s2", backends.two.port())}),
      ConfigWithoutCancellation(0, 0));
  // A connection to each backend is idle, so that a retry would go out at once.
  auto other = fixture.gateway->Connect(), client = fixture.gateway->Connect();
  backends.OpenConnections(*other, *client);
  client->Write(MakeRequest("quote/fail", 1, 60000));
  EXPECT_TRUE(backends.failing.Wait());
  fixture.gateway->Signal(SIGSTOP);
  backends.released.Add();
  AwaitUnreadBytes({backends.one.port(), backends.two.port()});  // the failure comes before the client's end
  // Until the other backend's connection has settled and could take a request.
  std::this_thread::sleep_for(2 * Seconds(BackendConnectionPool::kMinIdleBeforeReuseS));
  Leave(*client, reset);
  fixture.gateway->Signal(SIGCONT);
  EXPECT_EQ(Exchange(*other, MakeRequest("quote", 1, 60000)).status(), 200);
  EXPECT_EQ(backends.failing.count(), 1) << "no retry; reset " << reset;
}

// The first attempt's failure comes first, after which an idempotent request is retried, the client's end
// after it.
TEST(ClientLeft, BehindTheFailureThatWouldCauseARetry) {
  for (bool reset : {false, true}) ExpectNoRetryAfterTheFailure(reset);
}

}  // namespace
}  // namespace gateway::net
