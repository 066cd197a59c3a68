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

void Leave(Wire& client, bool reset) {
  if (reset) return client.Reset();
  client.Close();
}

// A client leaves, by a close or a reset, while the connection for its attempt is still to come up. When that
// is up nobody waits for the request any more: nothing may be sent on it, whether or not the settings allow
// cancellation.
TEST(ClientLeft, WhileItsBackendConnectionComesUp) {
  for (bool reset : {false, true}) {
    for (bool cancel : {false, true}) {
      Listener backend(0);
      auto filler = Wire::To(backend.port());  // holds the only place in the listener's queue
      json config = Config(0, 0);
      config["settings"]["limits"]["cancel"] = cancel;
      config["settings"]["limits"]["connect-timeout-s"] = 20.0;
      {
        Site site(json::array({Entry("s1", backend.port())}), config);
        auto client = site.gateway->Connect();
        client->Write(Request("send-lead", 1, 60000));
        AwaitConnecting(backend.port());
        Leave(*client, reset);
        // Frees the place, so that a connection that is still wanted comes up.
        auto taken = backend.Take();
        AwaitConnecting(backend.port(), false);
      }
      EXPECT_EQ(backend.All(), "") << "reset " << reset << " cancel " << cancel;
    }
  }
}

// A client leaves while its request waits for the counter's reply. When that comes the request must not be
// forwarded.
TEST(ClientLeft, WhileItsRequestWaitsForTheCounter) {
  for (bool reset : {false, true}) {
    Event called, go;
    Counter slow([&](const std::string&, double) {
      called.Add();
      go.Wait();
      return Bulk("0");
    });
    Backend backend(Says(Ok("x")));
    Discovery discovery;
    discovery.Set(json::array({Entry("s1", backend.port())}));
    json config = Config(discovery.port(), slow.port());
    config["settings"]["specifics"]["counter-timeout-s"] = 5.0;
    config["settings"]["limits"]["cancel"] = false;
    config["settings"]["request-classes"][2]["hard-limit-s"] = 60.0;
    Process gateway(config);
    EXPECT_TRUE(discovery.Told());
    auto client = gateway.Connect();
    client->Write(Request("send-lead", 2, 60000));
    EXPECT_TRUE(called.Wait());
    EXPECT_EQ(backend.requests.count(), 0) << "the request waits";
    Leave(*client, reset);
    // When it answers on a later connection, the gateway has seen the end of this one.
    Ask(*gateway.Connect(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    go.Add();
    EXPECT_EQ(Ask(*gateway.Connect(), Request("quote", 1, 60000)).status(), 200);
    EXPECT_EQ(backend.requests.count(), 1) << "only the request that is still wanted";
  }
}

// In the tests below a client leaves while the gateway is busy, so that the end of the client waits behind
// another event that would begin an attempt. The process is stopped meanwhile, which brings the events into
// that order. Cancellation is forbidden, so that nothing but the look at the client before each attempt can
// keep it back.

// The request and the end of its client are both unread when the gateway goes on: it must not be forwarded.
TEST(ClientLeft, BeforeItsRequestIsRead) {
  for (bool reset : {false, true}) {
    Backend backend(Says(Ok("x")));
    Site site(json::array({Entry("s1", backend.port())}), NoCancel(0, 0));
    auto client = site.gateway->Connect();
    Ask(*client, "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
    site.gateway->Signal(SIGSTOP);
    client->Write(Request("quote", 1, 60000));
    Leave(*client, reset);
    site.gateway->Signal(SIGCONT);
    EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote", 1, 60000)).status(), 200);
    EXPECT_EQ(backend.requests.count(), 1) << "only the request that is still wanted; reset " << reset;
  }
}

// The counter's reply comes first, and the client's end stands behind more pipelined bytes than the gateway
// reads ahead.
TEST(ClientLeft, BehindPipelinedBytesWhileItsRequestWaitsForTheCounter) {
  Event called, go;
  Counter slow([&](const std::string&, double) {
    called.Add();
    go.Wait();
    return Bulk("0");
  });
  Backend backend(Says(Ok("x")));
  Discovery discovery;
  discovery.Set(json::array({Entry("s1", backend.port())}));
  Process gateway(NoCancel(discovery.port(), slow.port()));
  EXPECT_TRUE(discovery.Told());
  auto client = gateway.Connect();
  client->Write(Request("send-lead", 2, 60000));
  EXPECT_TRUE(called.Wait());
  client->Write(std::string(40000, 'G'));  // more than is read ahead
  Ask(*gateway.Connect(), "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n");
  gateway.Signal(SIGSTOP);
  go.Add();  // its reply comes first
  AwaitArrival({slow.port()});
  client->EndSending();
  gateway.Signal(SIGCONT);
  EXPECT_EQ(Ask(*gateway.Connect(), Request("quote", 1, 60000)).status(), 200);
  EXPECT_EQ(backend.requests.count(), 1) << "only the request that is still wanted";
}

// The connection for the attempt comes up first, the client's end after it.
TEST(ClientLeft, BehindTheConnectEventOfItsAttempt) {
  for (bool reset : {false, true}) {
    Listener backend(0);
    auto filler = Wire::To(backend.port());
    {
      Site site(json::array({Entry("s1", backend.port())}), NoCancel(0, 0));
      auto client = site.gateway->Connect();
      client->Write(Request("quote", 1, 60000));
      AwaitConnecting(backend.port());
      site.gateway->Signal(SIGSTOP);
      auto taken = backend.Take();
      AwaitConnecting(backend.port(), false);
      Leave(*client, reset);
      site.gateway->Signal(SIGCONT);
    }
    EXPECT_EQ(backend.All(), "") << "reset " << reset;
  }
}

// The first attempt's failure comes first, after which an idempotent request is retried, the client's end
// after it.
TEST(ClientLeft, BehindTheFailureThatWouldCauseARetry) {
  for (bool reset : {false, true}) {
    Event connected, go, failing;
    auto answer = [&](const Message& request, Wire&) {
      if (request.head.find("/connect ") != std::string::npos) {
        connected.Add();
        connected.Wait(2);
      }
      if (request.head.find("/fail ") == std::string::npos) return Ok("x");
      failing.Add();
      go.Wait();
      return std::string("HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n");
    };
    Backend one(answer), two(answer);
    Site site(json::array({Entry("s1", one.port()), Entry("s2", two.port())}), NoCancel(0, 0));
    // A connection to each backend is idle, so that a retry would go out at once.
    auto other = site.gateway->Connect(), client = site.gateway->Connect();
    other->Write(Request("quote/connect", 1, 60000));
    client->Write(Request("quote/connect", 1, 60000));
    EXPECT_EQ(other->Read().status(), 200);
    EXPECT_EQ(client->Read().status(), 200);
    EXPECT_EQ(one.connections() + two.connections(), 2);
    client->Write(Request("quote/fail", 1, 60000));
    EXPECT_TRUE(failing.Wait());
    site.gateway->Signal(SIGSTOP);
    go.Add();
    AwaitArrival({one.port(), two.port()});  // the failure comes before the client's end
    // Until the other backend's connection has settled and could take a request.
    std::this_thread::sleep_for(2 * Seconds(BackendConnectionPool::kSettleS));
    Leave(*client, reset);
    site.gateway->Signal(SIGCONT);
    EXPECT_EQ(Ask(*other, Request("quote", 1, 60000)).status(), 200);
    EXPECT_EQ(failing.count(), 1) << "no retry; reset " << reset;
  }
}

}  // namespace
}  // namespace gateway::net
