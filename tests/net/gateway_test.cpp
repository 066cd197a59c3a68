// Requests through a running gateway: forwarding, attempts at backends, and the answers to clients.
#include <atomic>
#include <chrono>
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

TEST(Gateway, ForwardsRequestsAndResponsesUnchangedAndReusesConnections) {
  Backend backend([](const Message& request, Wire&) {
    return Ok("echo:" + request.body, "X-Note: kept\r\nX-Cost-Units: 2\r\n");
  });
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n").status(), 200);
  Message response = Ask(*client, Request("send-lead?a=b%20c", 1, 3000, "X-Own: 7\r\n", "the body"));
  EXPECT_EQ(response.status(), 200);
  EXPECT_EQ(response.body, "echo:the body");
  EXPECT_EQ(response.Header("X-Note"), "kept");
  Message sent = backend.request(0);
  EXPECT_EQ(sent.head.substr(0, sent.head.find("\r\n")), "POST /send-lead?a=b%20c HTTP/1.1");
  EXPECT_EQ(sent.body, "the body");
  EXPECT_EQ(sent.Header("X-Own"), "7");
  EXPECT_FALSE(sent.Header("Request-Id").empty());
  EXPECT_EQ(sent.head.find("Request-Timeout-Ms"), sent.head.rfind("Request-Timeout-Ms"));
  EXPECT_LE(std::atoi(sent.Header("Request-Timeout-Ms").c_str()), 3000);
  EXPECT_EQ(Ask(*client, Request("save-scenario", 1, 3000, "", "b")).status(), 200);
  EXPECT_FALSE(backend.request(1).Header("Idempotency-Key").empty());
  EXPECT_EQ(Ask(*client, Request("quote")).status(), 200);
  // A connection takes no request for some milliseconds after a response, and then is used again.
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(kLimitS);
  while (backend.connections() == backend.requests.count() && std::chrono::steady_clock::now() < limit) {
    EXPECT_NE(Ask(*client, Request("quote")).status(), 0);
  }
  EXPECT_LT(backend.connections(), backend.requests.count());
}

// A second request comes with the id of one that is still in flight. If both were forwarded, a backend could
// take the second for a repeat of the first, and one client would get the other's response. The id is free
// again once the first request is answered and none of its attempts is in flight.
TEST(Gateway, RejectsARequestIdThatIsInFlight) {
  Event released;
  Backend backend([&](const Message& request, Wire&) { return released.Wait(), Ok(request.body); });
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect(), other = site.gateway->Connect();
  std::string request = Request("send-lead", 1, 3000, "", "own");
  client->Write(request);
  EXPECT_TRUE(backend.requests.Wait());
  EXPECT_EQ(Ask(*other, request).status(), 400);
  released.Add();
  EXPECT_EQ(client->Read().body, "own");
  EXPECT_EQ(Ask(*other, request).status(), 200);
  EXPECT_EQ(backend.requests.count(), 2);
}

// A backend gets a non-idempotent request, and then its response is an error, cut off, unreadable, or
// missing. The request may have run, so a retry could run it twice: the client has to get 502 after one
// attempt.
TEST(Gateway, NeverRetriesANonIdempotentRequestThatMayHaveRun) {
  std::vector<std::string> ends = {"",
                                   "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
                                   "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                                   "garbage\r\n\r\n",
                                   "HTTP/1.1 200 OK\r\n\r\nno length"};
  for (const std::string& end : ends) {
    Backend backend([end](const Message&, Wire& wire) {
      wire.Write(end);
      return std::string();
    });
    Site site(json::array({Entry("s1", backend.port())}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 502) << end;
    EXPECT_EQ(backend.requests.count(), 1) << end;
  }
}

// A faulty backend answers with a huge Content-Length, an endless field, binary noise, contradicting lengths
// or a hundred interim responses. Each has to fail the attempt as one that may have run, and none may cost
// more memory than a good response.
TEST(Gateway, SurvivesUnreadableResponsesWithinItsMemoryLimit) {
  std::string ok = "HTTP/1.1 200 OK\r\n";
  std::string endless(100000, 'h');
  std::string interim;
  for (int i = 0; i < 100; ++i) interim.append("HTTP/1.1 103 Early Hints\r\n\r\n");
  std::vector<std::string> unreadable = {ok + "Content-Length: 3000000000\r\n\r\nand more",
                                         ok + "X-Endless: " + endless,
                                         std::string(200, '\1'),
                                         ok + "Content-Length: -4\r\n\r\nbody",
                                         ok + "Content-Length: 2\r\nContent-Length: 4\r\n\r\nbody",
                                         ok + "Content-Length: 4\r\nTransfer-Encoding: identity\r\n\r\nbody",
                                         ok + "Content-Length: 4, 4\r\n\r\nbody",
                                         interim + Ok("x")};
  for (const std::string& response : unreadable) {
    Event given_up;
    Backend backend([&](const Message&, Wire& wire) {
      wire.Write(response);
      if (wire.Ended()) given_up.Add();
      return std::string();
    });
    json config = Config(0, 0);
    config["limits"]["memory_mb"] = 32;
    Site site(json::array({Entry("s1", backend.port())}), config);
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, Request("send-lead", 1, 1000)).status(), 502) << response.substr(0, 99);
    EXPECT_TRUE(given_up.Wait());
    EXPECT_LT(site.gateway->peak_mb(), 32) << response.substr(0, 99);
  }
}

TEST(Gateway, TakesNotStartedAsARejection) {
  Backend full(Says("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"));
  Site site(json::array({Entry("s1", full.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 503) << "it never ran, so a retry is harmless";
}

// One of two backends is down and refuses connections. A request that could not be sent has not run, so even
// a non-idempotent one goes to the other backend.
TEST(Gateway, RetriesOnAnotherBackendAfterAFailedConnect) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("dead", DeadPort()), Entry("live", backend.port())}));
  auto client = site.gateway->Connect();
  for (int i = 0; i < 6; ++i) EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 200);
  EXPECT_EQ(backend.requests.count(), 6);
}

// A backend takes a non-idempotent request and never answers. The client gets its failure in time, nothing is
// retried, and the attempt's connection is closed, which tells the backend that nobody waits.
TEST(Gateway, TimesOutASilentBackendAndClosesItsConnection) {
  Event given_up;
  Backend backend(Hangs(&given_up));
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  EXPECT_EQ(Ask(*client, Request("send-lead", 1, 400)).status(), 502);
  EXPECT_TRUE(given_up.Wait());
  EXPECT_EQ(backend.requests.count(), 1);
}

// The first attempt hangs and is given up, and the request is retried. If the retry went out before the first
// connection is closed, two attempts would run at once where hedging is off.
TEST(Gateway, ClosesAnAttemptBeforeItsRetryIsSent) {
  Event given_up;
  std::atomic<int> seen{0};
  auto answer = [&](const Message&, Wire& wire) {
    if (seen++ == 0) {
      if (wire.Ended()) given_up.Add();
      return std::string();
    }
    return given_up.Wait() ? Ok("second") : std::string();
  };
  Backend one(answer), two(answer);
  Site site(json::array({Entry("s1", one.port()), Entry("s2", two.port())}));
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).body, "second");
}

// A client leaves while its request hangs at a backend, with a minute of its time left. The attempt has to be
// cancelled then, not at the deadline.
TEST(Gateway, CancelsTheAttemptWhenItsClientHasLeft) {
  Event given_up;
  Backend backend(Hangs(&given_up));
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  client->Write(Request("send-lead", 1, 60000));
  EXPECT_TRUE(backend.requests.Wait());
  client->Close();
  EXPECT_TRUE(given_up.Wait());
}

TEST(Gateway, RejectsBeyondTheQuotaAtOnceWithRetryAfter) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  Message last;
  for (int i = 0; i < 10 && last.status() != 429; ++i) {
    std::string request = Request("quote", 1, 60000);
    request.replace(request.find("X-Tier: business"), 16, "X-Tier: small");
    last = Ask(*client, request);
  }
  EXPECT_EQ(last.status(), 429);
  EXPECT_GT(std::atof(last.Header("Retry-After").c_str()), 0);
}

// A fault in the policy leaves requests without any decision. The gateway itself answers each by its
// deadline: 503 where a retry is harmless, 504 where an attempt in flight may have run. That attempt is given
// up.
TEST(Gateway, AnswersByTheDeadlineWhenThePolicyIsSilent) {
  Event given_up;
  Backend backend(Hangs(&given_up));
  Site site(json::array({Entry("s1", backend.port())}), {}, API_GATEWAY_UNRESPONSIVE);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote", 1, 200)).status(), 503);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("send-lead", 1, 200)).status(), 503);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("save-scenario", 1, 200)).status(), 504);
  EXPECT_TRUE(given_up.Wait()) << "what is out at the answer is given up";
}

// A connection takes 0.3 s to come up. The time-out that the backend is sent must be what is left of the
// client's time then, or the backend would work on a request that nobody waits for any more.
TEST(Gateway, SendsTheTimeLeftWhenTheBackendConnectionIsUp) {
  Listener backend(0);
  auto filler = Wire::To(backend.port());  // holds the only place in the listener's queue
  Site site(json::array({Entry("s1", backend.port())}), NoCancel(0, 0));
  auto client = site.gateway->Connect();
  client->Write(Request("quote", 1, 60000));
  AwaitConnecting(backend.port());
  auto began = Clock::now();
  while (Clock::now() < began + std::chrono::milliseconds(300))
    std::this_thread::yield();  // does not come up
  auto taken = backend.Take();  // frees the place
  std::unique_ptr<Wire> wire = backend.Take();
  Message request = wire->Read();
  double timeout_ms = std::atof(request.Header("Request-Timeout-Ms").c_str());
  EXPECT_GT(timeout_ms, 0);
  EXPECT_LE(timeout_ms, 60000 - 300);
  wire->Write(Ok("x"));
  EXPECT_EQ(client->Read().status(), 200);
}

}  // namespace
}  // namespace gateway::net
