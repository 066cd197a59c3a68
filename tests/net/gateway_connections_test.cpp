// Connections of a running gateway to clients and backends: limits, idle time and reuse.
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// Clients connect and send nothing, only empty lines, half a head or half a body, and so does one whose first
// request was served. Each would hold a descriptor for ever: the gateway has to close them itself.
TEST(GatewayConnections, ClosesClientsThatNeverCompleteARequest) {
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}));
  auto served = site.gateway->Connect();
  EXPECT_EQ(Ask(*served, Request("quote")).status(), 200);
  std::vector<std::unique_ptr<Wire>> incomplete;
  for (const std::string& text : {std::string(), std::string("\r\n\r\n"), Request("quote").substr(0, 60),
                                  Request("send-lead", 1, 3000, "Content-Length: 99\r\n") + "half"}) {
    incomplete.push_back(site.gateway->Connect());
    incomplete.back()->Write(text);
  }
  served->Write(Request("quote").substr(0, 60));
  auto begin = std::chrono::steady_clock::now();
  for (auto& wire : incomplete) EXPECT_TRUE(wire->Ended());
  EXPECT_TRUE(served->Ended());
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(kLimitS / 2))
      << "by its own doing";
}

// More clients than there are descriptors send half a request and stop. A client with a complete request
// still has to be served: incomplete ones are evicted as idle ones are.
TEST(GatewayConnections, EvictsIncompleteRequestsForANewClient) {
  Backend backend(Says(Ok("x")));
  json config = Config(0, 0);
  config["limits"]["sockets"] = 64;
  Site site(json::array({Entry("s1", backend.port())}), config);
  std::vector<std::unique_ptr<Wire>> half;
  for (int i = 0; i < 80; ++i) {
    half.push_back(site.gateway->Connect());
    half.back()->Write(Request("quote").substr(0, 60));
  }
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
}

// 400 clients each send nearly all of a 64 KiB body and stop. The descriptors would do for them, the memory
// would not: the memory limit bounds the number of clients too, and new ones are still served.
TEST(GatewayConnections, BoundsClientsByTheMemoryLimit) {
  json config = Config(0, 0);
  config["limits"]["memory_mb"] = 16;
  Backend backend(Says(Ok("x")));
  Site site(json::array({Entry("s1", backend.port())}), config);
  std::string half = Request("send-lead", 1, 3000, "Content-Length: 65536\r\n") + std::string(65000, 'b');
  std::vector<std::unique_ptr<Wire>> clients;
  for (int i = 0; i < 400; ++i) {
    clients.push_back(site.gateway->Connect());
    clients.back()->Write(half);
  }
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
  EXPECT_LT(site.gateway->peak_mb(), 16);
}

// A client sends two requests and a part of a third without waiting. Bytes that came ahead of a response
// belong to the next request; lost or misplaced, they would break every request after them.
TEST(GatewayConnections, ServesPipelinedRequestsInOrder) {
  Backend backend([](const Message& m, Wire&) { return Ok(m.body); });
  Site site(json::array({Entry("s1", backend.port())}));
  auto client = site.gateway->Connect();
  std::string third = Request("send-lead", 1, 3000, "", "three");
  client->Write(Request("send-lead", 1, 3000, "", "one") + Request("send-lead", 1, 3000, "", "two") +
                third.substr(0, 40));
  EXPECT_EQ(client->Read().body, "one");
  EXPECT_EQ(client->Read().body, "two");
  client->Write(third.substr(40));
  EXPECT_EQ(client->Read().body, "three");
}

// A backend closes an idle connection, announces its close, or sends bytes that nobody asked for. The next
// request on such a connection would end as a reset, or get a response that is not its own.
TEST(GatewayConnections, ReusesNoStaleBackendConnection) {
  for (std::string after : {"close", "bytes", "header"}) {
    Event closed;
    Backend backend([&](const Message&, Wire& wire) {
      if (after == "header") return Ok("x", "Connection: close\r\n");
      wire.Write(Ok("x") + (after == "bytes" ? "unasked" : ""));
      if (after == "bytes") {
        if (wire.Ended()) closed.Add();
      }
      return std::string();
    });
    Site site(json::array({Entry("s1", backend.port())}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 200) << after;
    if (after == "bytes") {
      EXPECT_TRUE(closed.Wait());
    }
    // The end may cross the next request; from the one after it on the connection is known to be over.
    if (after == "close") Ask(*client, Request("quote"));
    EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 200) << after;
  }
}

// A backend closes connections that have been idle for some time. A request written just then ends as a reset
// that may have run, so the gateway has to close its idle connections first.
TEST(GatewayConnections, ClosesIdleBackendConnectionsBeforeTheirIdleLimit) {
  Event closed;
  Backend backend([&](const Message&, Wire& wire) {
    wire.Write(Ok("x"));
    if (wire.Ended()) closed.Add();
    return std::string();
  });
  json config = Config(0, 0);
  config["settings"]["limits"]["conn-idle-s"] = 0.5;
  Site site(json::array({Entry("s1", backend.port())}), config);
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).status(), 200);
  EXPECT_TRUE(closed.Wait());
}

// A backend's listen queue is full, and the connection comes up only when its attempt was given up long ago.
// No byte of the request may go out on it.
TEST(GatewayConnections, SendsNothingOnABackendConnectionThatComesUpLate) {
  sockaddr_in at;
  int fd = Loopback(&at, 0);
  ASSERT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
  ASSERT_EQ(listen(fd, 0), 0);
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  auto filler = Wire::To(ntohs(at.sin_port));  // takes the only place in the listener's queue
  {
    Site site(json::array({Entry("s1", ntohs(at.sin_port))}));
    auto client = site.gateway->Connect();
    EXPECT_EQ(Ask(*client, Request("send-lead")).status(), 503);
  }
  // The gateway has ended, so all that it ever sent is here.
  pollfd ready{fd, POLLIN, 0};
  for (int i = 0; i < 20 && poll(&ready, 1, 0) > 0; ++i) {
    Wire late(accept(fd, nullptr, nullptr));
    filler->Close();
    late.More();
    EXPECT_EQ(late.unread, "");
  }
  close(fd);
}

// More clients connect than there are descriptors, within the gateway's configured limit and with fewer
// descriptors than that. Idle clients are evicted, further ones wait to be accepted, and once clients have
// left requests are served again.
TEST(GatewayConnections, SurvivesRunningOutOfDescriptors) {
  Backend backend(Says(Ok("x")));
  json config = Config(0, 0);
  config["limits"]["sockets"] = 64;
  for (rlim_t limit : {64, 16}) {  // within the configured limit, and below it
    Site site(json::array({Entry("s1", backend.port())}), config, API_GATEWAY, limit);
    std::vector<std::unique_ptr<Wire>> idle;
    while (idle.size() < 60) idle.push_back(site.gateway->Connect());
    auto client = site.gateway->Connect();
    if (limit < 64) idle.clear();
    EXPECT_NE(Ask(*client, Request("quote")).status(), 0);
    idle.clear();
    int status = 0;
    for (int i = 0; i < 100 && status != 200; ++i) {
      status = Ask(*site.gateway->Connect(), Request("quote")).status();
    }
    EXPECT_EQ(status, 200);
  }
}

// Idle clients hold every descriptor that clients may have while discovery is silent and the counter has
// gone. Then both come back at other addresses. The gateway still has descriptors for its connections to them
// and to a backend that it did not know before; idle clients are evicted and new ones served.
TEST(GatewayConnections, ReservesDescriptorsForItsOwnConnections) {
  constexpr rlim_t kDescriptors = 64;
  Backend before(Says(Ok("before"))), after(Says(Ok("after")));
  json config = Config(0, 0);
  config["limits"]["sockets"] = kDescriptors;
  Site site(json::array({Entry("s1", before.port())}), config, API_GATEWAY, kDescriptors);
  site.discovery.Silence(true);
  site.counter.Stop();
  std::vector<std::unique_ptr<Wire>> idle;
  for (int i = 0; i < 200; ++i) idle.push_back(site.gateway->Connect());
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).body, "before") << "a new client is served";
  Counter counter([](const std::string&, double) { return Bulk("0"); });
  Discovery discovery;
  discovery.Set(json::array({Entry("s2", after.port())}));
  config["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
  config["counter"] = "127.0.0.1:" + std::to_string(counter.port());
  site.gateway->Reload(config.dump());
  EXPECT_TRUE(discovery.Told()) << "its connection to discovery comes up";
  EXPECT_EQ(Ask(*site.gateway->Connect(), Request("quote")).body, "after") << "and one to a backend";
  while (counter.calls.count() == 0) Ask(*site.gateway->Connect(), Request("quote", 2));
  EXPECT_TRUE(idle.front()->Ended()) << "the one idle longest was evicted";
}

}  // namespace
}  // namespace gateway::net
