// Tests of a running gateway whose clients disconnect before their response. In whatever order the gateway
// sees the events, no attempt may be sent for a client that has left.
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

// A counter that replies only after the test has released its replies.
struct DelayedCounter {
  Event called, released;
  StubCounter counter{[this](const std::string&, double) {
    called.Add();
    released.Wait();
    return BulkString("0");
  }};
};

void Disconnect(TestConnection& client, bool reset) {
  if (reset) return client.Reset();
  client.Close();
}

// A client disconnects, by a close or a reset, while the connection for its attempt is being established.
// Once that is established nobody waits for the request any more, so nothing may be sent on it, whether or
// not the settings allow cancellation.
TEST(ClientLeft, WhileItsBackendConnectionIsEstablished) {
  for (bool reset : {false, true}) {
    for (bool cancel : {false, true}) {
      ManualListener backend(0);
      auto filler = TestConnection::ConnectTo(backend.port());  // fills the listener's accept queue
      json config = ConfigJson(0, 0);
      config["settings"]["limits"]["cancel"] = cancel;
      config["settings"]["limits"]["connect-timeout-s"] = 20.0;
      {
        GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
        auto client = fixture.gateway->Connect();
        client->Write(MakeRequest("send-lead", 1, 60000));
        AwaitConnecting(backend.port());
        Disconnect(*client, reset);
        // Makes room in the accept queue, so that the connection is established unless the gateway closed it.
        auto accepted_filler = backend.Accept();
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
  EXPECT_EQ(backend.requests.count(), 0) << "the request did not wait for the counter";
  Disconnect(*client, reset);
  // Once the gateway responds on a later connection, it has seen the end of the client's.
  Exchange(*gateway.Connect(), kReadinessRequest);
  delayed.released.Add();
  EXPECT_EQ(Exchange(*gateway.Connect(), MakeRequest("quote", 1, 60000)).status(), 200);
  EXPECT_EQ(backend.requests.count(), 1) << "the request of the client that left was forwarded";
}

// A client disconnects while its request waits for the counter's reply. When the reply arrives, the request
// must not be forwarded.
TEST(ClientLeft, WhileItsRequestWaitsForTheCounter) {
  for (bool reset : {false, true}) ExpectNothingSentAfterTheCounterReplies(reset);
}

// In the tests below a client disconnects while the gateway is busy, so that the client's end is queued
// behind another event that would begin an attempt. The tests stop the process meanwhile to bring the events
// into that order. The settings forbid cancellation, so that only the check of the client's connection before
// each attempt can prevent it.

// Both the request and the end of its client are unread when the gateway resumes. The request must not be
// forwarded.
TEST(ClientLeft, BeforeItsRequestIsRead) {
  for (bool reset : {false, true}) {
    StubBackend backend(RespondsWith(OkResponse("x")));
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}),
                           ConfigWithoutCancellation(0, 0));
    auto client = fixture.gateway->Connect();
    Exchange(*client, kReadinessRequest);
    fixture.gateway->Signal(SIGSTOP);
    client->Write(MakeRequest("quote", 1, 60000));
    Disconnect(*client, reset);
    fixture.gateway->Signal(SIGCONT);
    EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote", 1, 60000)).status(), 200);
    EXPECT_EQ(backend.requests.count(), 1)
        << "the request of the client that left was forwarded; reset " << reset;
  }
}

// The counter's reply is handled first, and the client's end is behind more pipelined bytes than the gateway
// reads ahead. The request must not be forwarded.
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
  client->Write(std::string(40000, 'G'));  // more than the gateway reads ahead
  Exchange(*gateway.Connect(), kReadinessRequest);
  gateway.Signal(SIGSTOP);
  delayed.released.Add();  // the reply arrives before the client's end
  AwaitUnreadBytes({delayed.counter.port()});
  client->HalfClose();
  gateway.Signal(SIGCONT);
  EXPECT_EQ(Exchange(*gateway.Connect(), MakeRequest("quote", 1, 60000)).status(), 200);
  EXPECT_EQ(backend.requests.count(), 1) << "the request of the client that left was forwarded";
}

// The connection for the attempt is established before the client's end arrives. Nothing may be sent on it.
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
      auto accepted_filler = backend.Accept();
      AwaitConnecting(backend.port(), false);
      Disconnect(*client, reset);
      fixture.gateway->Signal(SIGCONT);
    }
    EXPECT_EQ(backend.ReceiveAll(), "") << "reset " << reset;
  }
}

// Two backends. Requests for /connect get their responses once there is one at each backend. A request for
// /fail gets an error when the test releases it.
struct FailingBackends {
  // Makes the gateway open one connection to each backend, by a request from each client.
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

void ExpectNoRetryAfterAFailedAttempt(bool reset) {
  FailingBackends backends;
  GatewayFixture fixture(
      json::array({EndpointEntry("s1", backends.one.port()), EndpointEntry("s2", backends.two.port())}),
      ConfigWithoutCancellation(0, 0));
  // Leaves an idle connection to each backend, so that a retry would be sent at once.
  auto other_client = fixture.gateway->Connect(), client = fixture.gateway->Connect();
  backends.OpenConnections(*other_client, *client);
  client->Write(MakeRequest("quote/fail", 1, 60000));
  EXPECT_TRUE(backends.failing.Wait());
  fixture.gateway->Signal(SIGSTOP);
  backends.released.Add();
  AwaitUnreadBytes(
      {backends.one.port(), backends.two.port()});  // the failure arrives before the client's end
  // Waits until the idle connection to the other backend may be reused.
  std::this_thread::sleep_for(2 * Seconds(BackendConnectionPool::kMinIdleBeforeReuseS));
  Disconnect(*client, reset);
  fixture.gateway->Signal(SIGCONT);
  EXPECT_EQ(Exchange(*other_client, MakeRequest("quote", 1, 60000)).status(), 200);
  EXPECT_EQ(backends.failing.count(), 1) << "the request was retried; reset " << reset;
}

// The failure of the first attempt, after which an idempotent request is usually retried, arrives before the
// client's end. There must be no retry.
TEST(ClientLeft, BehindTheFailureThatWouldCauseARetry) {
  for (bool reset : {false, true}) ExpectNoRetryAfterAFailedAttempt(reset);
}

// A client leaves while a backend runs its request, and the same id comes again on another connection, also
// after the attempt was cancelled (picture (c) of "What the review found"). Its request must not run twice.
TEST(ClientLeft, ItsRequestIdDoesNotRunAgain) {
  for (bool reset : {false, true}) {
    for (std::string request_class : {"quote", "save-scenario", "send-lead"}) {
      Event closed;
      StubBackend backend(NeverResponds(&closed));
      GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
      const std::string request = MakeRequest(request_class);
      auto client = fixture.gateway->Connect();
      client->Write(request);
      backend.requests.Wait();
      Disconnect(*client, reset);
      closed.Wait();  // the attempt is cancelled
      HttpMessage again = Exchange(*fixture.gateway->Connect(), request);
      EXPECT_EQ(again.status(), 400) << request_class << reset;
      EXPECT_EQ(backend.requests.count(), 1) << request_class << reset;
    }
  }
}

// A client sends its request once more, under the same id, if the closing of an idle connection crosses it.
// As no backend has had the request, it has to be served.
TEST(ClientLeft, ItsRequestIdIsServedIfNoBackendHasHadIt) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  json config = ConfigJson(0, 0);
  config["settings"]["limits"]["connect-timeout-s"] = 20.0;
  ManualListener unreachable(0);
  auto filler = TestConnection::ConnectTo(unreachable.port());  // fills the listener's accept queue
  GatewayFixture fixture(json::array({EndpointEntry("s1", unreachable.port())}), config);
  const std::string request = MakeRequest("send-lead", 1, 60000);
  auto client = fixture.gateway->Connect();
  client->Write(request);
  AwaitConnecting(unreachable.port());
  client->Close();
  AwaitConnecting(unreachable.port(), false);
  fixture.discovery.Set(json::array({EndpointEntry("s2", backend.port())}));
  EXPECT_TRUE(fixture.discovery.AwaitApplied());
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), request).status(), 200);
}

}  // namespace
}  // namespace gateway::net
