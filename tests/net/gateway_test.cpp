// Tests of requests through a running gateway: forwarding, attempts at backends, and responses to clients.
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "net/clock.h"
#include "support/gateway_fixture.h"
#include "support/manual_listener.h"
#include "support/tcp_table.h"

namespace gateway::net {
namespace {

using namespace test_support;

void ExpectForwardedUnchanged(const HttpMessage& sent) {
  EXPECT_EQ(sent.head.substr(0, sent.head.find("\r\n")), "POST /send-lead?a=b%20c HTTP/1.1");
  EXPECT_EQ(sent.body, "the body");
  EXPECT_EQ(sent.Header("X-Own"), "7");
  EXPECT_FALSE(sent.Header("Request-Id").empty());
  EXPECT_EQ(sent.head.find("Request-Timeout-Ms"), sent.head.rfind("Request-Timeout-Ms"));
  EXPECT_LE(std::atoi(sent.Header("Request-Timeout-Ms").c_str()), 3000);
}

void ExpectEchoed(const HttpMessage& response) {
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.body, "echo:the body");
  EXPECT_EQ(response.Header("X-Note"), "kept");
}

// Sends requests until one of them is forwarded on a connection that the gateway opened earlier. A connection
// takes no request for some milliseconds after a response, so the first requests may each open a new one.
void ExpectConnectionsReused(TestConnection& client, StubBackend& backend) {
  auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
  while (backend.connections() == backend.requests.count() && std::chrono::steady_clock::now() < give_up_at) {
    EXPECT_NE(Exchange(client, MakeRequest("quote")).status(), 0);
  }
  EXPECT_LT(backend.connections(), backend.requests.count());
}

TEST(Gateway, ForwardsRequestsAndResponsesUnchangedAndReusesConnections) {
  StubBackend backend([](const HttpMessage& request, TestConnection&) {
    return OkResponse("echo:" + request.body, "X-Note: kept\r\nX-Cost-Units: 2\r\n");
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*client, kReadinessRequest).status(), 200);
  HttpMessage response =
      Exchange(*client, MakeRequest("send-lead?a=b%20c", 1, 3000, "X-Own: 7\r\n", "the body"));
  ExpectEchoed(response);
  ExpectForwardedUnchanged(backend.request(0));
  EXPECT_EQ(Exchange(*client, MakeRequest("save-scenario", 1, 3000, "", "b")).status(), 200);
  EXPECT_FALSE(backend.request(1).Header("Idempotency-Key").empty());
  EXPECT_EQ(Exchange(*client, MakeRequest("quote")).status(), 200);
  ExpectConnectionsReused(*client, backend);
}

// Guards against telling clients what a request cost or how busy a backend is. Header field names are
// case-insensitive, so a backend may spell the fields that are meant for the gateway in another way, or add
// Not-Started to a successful response. None of them may be forwarded.
TEST(Gateway, RemovesFieldsForTheGatewayInAnySpelling) {
  StubBackend backend(RespondsWith(OkResponse(
      "x", "x-cost-units: 2\r\nSERVER-LOAD: {\"queue\":1}\r\nNot-Started: 1\r\nX-Note: kept\r\n")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  HttpMessage response = Exchange(*fixture.gateway->Connect(), MakeRequest("quote"));
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.Header("X-Note"), "kept");
  for (const char* name : {"x-cost-units", "SERVER-LOAD", "Not-Started"}) {
    EXPECT_EQ(response.head.find(name), std::string::npos) << name;
  }
}

// A process that is stopped past a request's deadline responds late through no fault of the gateway's rules.
// The log has to distinguish this from a late response that a rule caused.
TEST(Gateway, LogsAStallOfItsProcess) {
  Event arrived, released;
  StubBackend backend([&](const HttpMessage&, TestConnection&) {
    arrived.Add();
    released.Wait();
    return OkResponse("x");
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(MakeRequest("quote", 1, 300));
  EXPECT_TRUE(arrived.Wait());
  fixture.gateway->Signal(SIGSTOP);
  std::this_thread::sleep_for(std::chrono::milliseconds(800));
  fixture.gateway->Signal(SIGCONT);
  EXPECT_NE(client->Read().status(), 0);
  released.Add();
  fixture.gateway->Signal(SIGTERM);
  EXPECT_EQ(fixture.gateway->AwaitExit(), 0);
  EXPECT_NE(fixture.gateway->log.find("event_loop_late late_s="), std::string::npos);
}

// A second request arrives with the id of one that is still in flight. If both were forwarded, a backend
// could take the second for a repetition of the first, and one client would get the other's response. The id
// is free again once the first request has its response and none of its attempts is in flight.
TEST(Gateway, RejectsARequestIdThatIsInFlight) {
  Event released;
  StubBackend backend(
      [&](const HttpMessage& request, TestConnection&) { return released.Wait(), OkResponse(request.body); });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect(), other_client = fixture.gateway->Connect();
  std::string request = MakeRequest("send-lead", 1, 3000, "", "own");
  client->Write(request);
  EXPECT_TRUE(backend.requests.Wait());
  EXPECT_EQ(Exchange(*other_client, request).status(), 400);
  released.Add();
  EXPECT_EQ(client->Read().body, "own");
  EXPECT_EQ(Exchange(*other_client, request).status(), 200);
  EXPECT_EQ(backend.requests.count(), 2);
}

// A backend receives a non-idempotent request, and its response is then an error, truncated, malformed or
// missing. The request may have run, so a retry could run it twice: the client has to get 502 after one
// attempt. (UsesAResponseWithoutALengthUnlessItIsReset has the responses without a length.)
TEST(Gateway, NeverRetriesANonIdempotentRequestThatMayHaveRun) {
  std::vector<std::string> failures = {
      "",
      "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
      "garbage\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlength too small",
      "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 4\r\n\r\nlength"};
  for (const std::string& failure : failures) {
    StubBackend backend([failure](const HttpMessage&, TestConnection& connection) {
      connection.Write(failure);
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), 502) << failure;
    EXPECT_EQ(backend.requests.count(), 1) << failure;
  }
}

// A response without a length that its backend ends in order is whole. If it were dropped, the result of a
// request that ran would be lost to its client (review case 3). One that is reset is not whole: the client
// has to get 502 after one attempt.
TEST(Gateway, UsesAResponseWithoutALengthUnlessItIsReset) {
  for (bool reset : {false, true}) {
    StubBackend backend([reset](const HttpMessage&, TestConnection& connection) {
      connection.Write("HTTP/1.1 200 OK\r\n\r\nno length");
      reset ? connection.Reset() : connection.HalfClose();
      if (!reset) connection.AwaitEnd();
      return std::string();
    });
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
    HttpMessage response = Exchange(*fixture.gateway->Connect(), MakeRequest("send-lead"));
    EXPECT_EQ(response.status(), reset ? 502 : 200);
    EXPECT_EQ(response.body, reset ? "" : "no length");
    EXPECT_EQ(backend.requests.count(), 1) << reset;
  }
}

// Guards against forwarding a response that is cut off because its Content-Length is too small. The first
// attempt gets such a response, and the client has to get the whole one of a second attempt, if its request
// may run twice. (NeverRetriesANonIdempotentRequestThatMayHaveRun has the other case.)
TEST(Gateway, RetriesAnIdempotentRequestWhoseResponseIsCutOffByItsLength) {
  for (std::string request_class : {"quote", "save-scenario"}) {
    std::atomic<int> responses{0};
    auto respond = [&](const HttpMessage&, TestConnection& connection) {
      if (responses++ > 0) return OkResponse("the whole body");
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nthe whole body");
      connection.AwaitEnd();
      return std::string();
    };
    StubBackend one(respond), two(respond);
    GatewayFixture fixture(json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())}));
    HttpMessage response = Exchange(*fixture.gateway->Connect(), MakeRequest(request_class));
    EXPECT_EQ(response.status(), 200) << request_class;
    EXPECT_EQ(response.body, "the whole body") << request_class;
    EXPECT_EQ(responses, 2) << request_class;
  }
}

// A faulty backend responds with a huge Content-Length, an endless header field, binary data, contradictory
// lengths or a hundred interim responses. Each has to fail the attempt as one that may have run, and none may
// take more memory than a valid response.
TEST(Gateway, SurvivesMalformedResponsesWithinItsMemoryLimit) {
  std::string ok = "HTTP/1.1 200 OK\r\n";
  std::string endless(100000, 'h');
  std::string interim;
  for (int i = 0; i < 100; ++i) interim.append("HTTP/1.1 103 Early Hints\r\n\r\n");
  std::vector<std::string> malformed = {ok + "Content-Length: 3000000000\r\n\r\nand more",
                                        ok + "X-Endless: " + endless,
                                        std::string(200, '\1'),
                                        ok + "Content-Length: -4\r\n\r\nbody",
                                        ok + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
                                        ok + "Content-Length: 4\r\nTransfer-Encoding: identity\r\n\r\nbody",
                                        ok + "Content-Length: 4, 4\r\n\r\nbody",
                                        interim + OkResponse("x")};
  for (const std::string& response : malformed) {
    Event connection_closed;
    StubBackend backend([&](const HttpMessage&, TestConnection& connection) {
      connection.Write(response);
      if (connection.AwaitEnd()) connection_closed.Add();
      return std::string();
    });
    json config = ConfigJson(0, 0);
    config["limits"]["memory_mb"] = 32;
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(Exchange(*client, MakeRequest("send-lead", 1, 1000)).status(), 502) << response.substr(0, 99);
    EXPECT_TRUE(connection_closed.Wait());
    EXPECT_LT(fixture.gateway->PeakResidentMb(), 32) << response.substr(0, 99);
  }
}

// A backend that responds with Not-Started has not run the request. If the gateway took the response for the
// failure of an attempt that may have run, the client would get 502 and could not retry a non-idempotent
// request.
TEST(Gateway, TreatsNotStartedAsARejection) {
  StubBackend full_backend(RespondsWith("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"));
  GatewayFixture fixture(json::array({EndpointEntry("s1", full_backend.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), 503)
      << "the request never ran, so its client may retry it";
}

// One of two backends is down and refuses connections. A request that could not be sent has not run, so even
// a non-idempotent one has to be sent to the other backend.
TEST(Gateway, RetriesOnAnotherBackendAfterAFailedConnect) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(
      json::array({EndpointEntry("dead", UnusedPort()), EndpointEntry("live", backend.port())}));
  auto client = fixture.gateway->Connect();
  for (int i = 0; i < 6; ++i) EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), 200);
  EXPECT_EQ(backend.requests.count(), 6);
}

// A backend receives a non-idempotent request and never responds. The client has to get its error in time,
// nothing may be retried, and the attempt's connection has to be closed, which tells the backend that nobody
// waits for its response.
TEST(Gateway, TimesOutASilentBackendAndClosesItsConnection) {
  Event connection_closed;
  StubBackend backend(NeverResponds(&connection_closed));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*client, MakeRequest("send-lead", 1, 400)).status(), 502);
  EXPECT_TRUE(connection_closed.Wait());
  EXPECT_EQ(backend.requests.count(), 1);
}

// The first attempt hangs and is cancelled, and the request is retried. If the retry were sent before the
// first attempt's connection is closed, two attempts would run at once although hedging is off.
TEST(Gateway, ClosesAnAttemptBeforeItsRetryIsSent) {
  Event first_closed;
  std::atomic<int> requests_received{0};
  auto respond = [&](const HttpMessage&, TestConnection& connection) {
    if (requests_received++ == 0) {
      if (connection.AwaitEnd()) first_closed.Add();
      return std::string();
    }
    return first_closed.Wait() ? OkResponse("second") : std::string();
  };
  StubBackend one(respond), two(respond);
  GatewayFixture fixture(json::array({EndpointEntry("s1", one.port()), EndpointEntry("s2", two.port())}));
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).body, "second");
}

// A client disconnects while its request hangs at a backend, a minute before its deadline. The attempt has to
// be cancelled at once and not at the deadline.
TEST(Gateway, CancelsTheAttemptWhenItsClientHasLeft) {
  Event connection_closed;
  StubBackend backend(NeverResponds(&connection_closed));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  client->Write(MakeRequest("send-lead", 1, 60000));
  EXPECT_TRUE(backend.requests.Wait());
  client->Close();
  EXPECT_TRUE(connection_closed.Wait());
}

TEST(Gateway, RejectsRequestsOverQuotaAtOnceWithRetryAfter) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  HttpMessage response;
  for (int i = 0; i < 10 && response.status() != 429; ++i) {
    std::string request = MakeRequest("quote", 1, 60000);
    request.replace(request.find("X-Tier: business"), 16, "X-Tier: small");
    response = Exchange(*client, request);
  }
  EXPECT_EQ(response.status(), 429);
  EXPECT_GT(std::atof(response.Header("Retry-After").c_str()), 0);
}

// A fault in the policy leaves requests without a decision. The gateway itself has to respond to each by its
// deadline: with 503 if nothing was forwarded, so that a retry is harmless, and with 504 if an attempt in
// flight may have run. That attempt is cancelled.
TEST(Gateway, RespondsByTheDeadlineWhenThePolicyIsUnresponsive) {
  Event connection_closed;
  StubBackend backend(NeverResponds(&connection_closed));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), {}, API_GATEWAY_UNRESPONSIVE);
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote", 1, 200)).status(), 503);
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("send-lead", 1, 200)).status(), 503);
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("save-scenario", 1, 200)).status(), 504);
  EXPECT_TRUE(connection_closed.Wait()) << "the attempt in flight was not cancelled with the response";
}

// A backend connection takes 0.3 s to be established. The time-out sent to the backend must be the time that
// the client has left by then, or the backend would work on a request that nobody waits for any more.
TEST(Gateway, SendsTheTimeLeftWhenTheBackendConnectionIsEstablished) {
  ManualListener backend(0);
  auto filler = TestConnection::ConnectTo(backend.port());  // fills the listener's accept queue
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), ConfigWithoutCancellation(0, 0));
  auto client = fixture.gateway->Connect();
  client->Write(MakeRequest("quote", 1, 60000));
  AwaitConnecting(backend.port());
  auto began_at = Clock::now();
  // Until the filler is accepted, the gateway's connection cannot be established.
  while (Clock::now() < began_at + std::chrono::milliseconds(300)) std::this_thread::yield();
  auto accepted_filler = backend.Accept();
  std::unique_ptr<TestConnection> connection = backend.Accept();
  HttpMessage request = connection->Read();
  double timeout_ms = std::atof(request.Header("Request-Timeout-Ms").c_str());
  EXPECT_GT(timeout_ms, 0);
  EXPECT_LE(timeout_ms, 60000 - 300);
  connection->Write(OkResponse("x"));
  EXPECT_EQ(client->Read().status(), 200);
}

}  // namespace
}  // namespace gateway::net
