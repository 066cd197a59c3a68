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
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto served = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*served, MakeRequest("quote")).status(), 200);
  std::vector<std::unique_ptr<TestConnection>> incomplete;
  for (const std::string& text : {std::string(), std::string("\r\n\r\n"), MakeRequest("quote").substr(0, 60),
                                  MakeRequest("send-lead", 1, 3000, "Content-Length: 99\r\n") + "half"}) {
    incomplete.push_back(fixture.gateway->Connect());
    incomplete.back()->Write(text);
  }
  served->Write(MakeRequest("quote").substr(0, 60));
  auto begin = std::chrono::steady_clock::now();
  for (auto& connection : incomplete) EXPECT_TRUE(connection->AwaitEnd());
  EXPECT_TRUE(served->AwaitEnd());
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(kWaitTimeoutS / 2))
      << "by its own doing";
}

// More clients than there are descriptors send half a request and stop. A client with a complete request
// still has to be served: incomplete ones are evicted as idle ones are.
TEST(GatewayConnections, EvictsIncompleteRequestsForANewClient) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  json config = ConfigJson(0, 0);
  config["limits"]["sockets"] = 64;
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  std::vector<std::unique_ptr<TestConnection>> half;
  for (int i = 0; i < 80; ++i) {
    half.push_back(fixture.gateway->Connect());
    half.back()->Write(MakeRequest("quote").substr(0, 60));
  }
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
}

// 400 clients each send nearly all of a 64 KiB body and stop. The descriptors would do for them, the memory
// would not: the memory limit bounds the number of clients too, and new ones are still served.
TEST(GatewayConnections, BoundsClientsByTheMemoryLimit) {
  json config = ConfigJson(0, 0);
  config["limits"]["memory_mb"] = 16;
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  std::string half = MakeRequest("send-lead", 1, 3000, "Content-Length: 65536\r\n") + std::string(65000, 'b');
  std::vector<std::unique_ptr<TestConnection>> clients;
  for (int i = 0; i < 400; ++i) {
    clients.push_back(fixture.gateway->Connect());
    clients.back()->Write(half);
  }
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
  EXPECT_LT(fixture.gateway->PeakResidentMb(), 16);
}

// A client sends two requests and a part of a third without waiting. Bytes that came ahead of a response
// belong to the next request; lost or misplaced, they would break every request after them.
TEST(GatewayConnections, ServesPipelinedRequestsInOrder) {
  StubBackend backend([](const HttpMessage& m, TestConnection&) { return OkResponse(m.body); });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  std::string third = MakeRequest("send-lead", 1, 3000, "", "three");
  client->Write(MakeRequest("send-lead", 1, 3000, "", "one") + MakeRequest("send-lead", 1, 3000, "", "two") +
                third.substr(0, 40));
  EXPECT_EQ(client->Read().body, "one");
  EXPECT_EQ(client->Read().body, "two");
  client->Write(third.substr(40));
  EXPECT_EQ(client->Read().body, "three");
}

// Responds, and then makes the connection stale: by a close, by bytes that nobody asked for, or by a header
// that announces a close. `closed`: the gateway has closed the connection on which such bytes came.
std::string RespondAndBecomeStale(const std::string& how, TestConnection& connection, Event* closed) {
  if (how == "header") return OkResponse("x", "Connection: close\r\n");
  connection.Write(OkResponse("x") + (how == "bytes" ? "unasked" : ""));
  if (how == "bytes" && connection.AwaitEnd()) closed->Add();
  return "";
}

void ExpectStaleConnectionNotReused(const std::string& how) {
  Event closed;
  StubBackend backend([&](const HttpMessage&, TestConnection& connection) {
    return RespondAndBecomeStale(how, connection, &closed);
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), 200) << how;
  if (how == "bytes") {
    EXPECT_TRUE(closed.Wait());
  }
  // The end may cross the next request; from the one after it on the connection is known to be over.
  if (how == "close") Exchange(*client, MakeRequest("quote"));
  EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), 200) << how;
}

// A backend closes an idle connection, announces its close, or sends bytes that nobody asked for. The next
// request on such a connection would end as a reset, or get a response that is not its own.
TEST(GatewayConnections, ReusesNoStaleBackendConnection) {
  for (const char* how : {"close", "bytes", "header"}) ExpectStaleConnectionNotReused(how);
}

// A backend closes connections that have been idle for some time. A request written just then ends as a reset
// that may have run, so the gateway has to close its idle connections first.
TEST(GatewayConnections, ClosesIdleBackendConnectionsBeforeTheirIdleLimit) {
  Event closed;
  StubBackend backend([&](const HttpMessage&, TestConnection& connection) {
    connection.Write(OkResponse("x"));
    if (connection.AwaitEnd()) closed.Add();
    return std::string();
  });
  json config = ConfigJson(0, 0);
  config["settings"]["limits"]["conn-idle-s"] = 0.5;
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
  EXPECT_TRUE(closed.Wait());
}

// A backend's listen queue is full, and the connection comes up only when its attempt was given up long ago.
// No byte of the request may go out on it.
TEST(GatewayConnections, SendsNothingOnABackendConnectionThatComesUpLate) {
  sockaddr_in at;
  int fd = OpenLoopbackSocket(&at, 0);
  ASSERT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
  ASSERT_EQ(listen(fd, 0), 0);
  socklen_t size = sizeof(at);
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  auto filler =
      TestConnection::ConnectTo(ntohs(at.sin_port));  // takes the only place in the listener's queue
  {
    GatewayFixture fixture(json::array({EndpointEntry("s1", ntohs(at.sin_port))}));
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), 503);
  }
  // The gateway has ended, so all that it ever sent is here.
  pollfd ready{fd, POLLIN, 0};
  for (int i = 0; i < 20 && poll(&ready, 1, 0) > 0; ++i) {
    TestConnection late(accept(fd, nullptr, nullptr));
    filler->Close();
    late.Receive();
    EXPECT_EQ(late.unread, "");
  }
  close(fd);
}

// More clients connect than there are descriptors, within the gateway's configured limit and with fewer
// descriptors than that. Idle clients are evicted, further ones wait to be accepted, and once clients have
// left requests are served again.
TEST(GatewayConnections, SurvivesRunningOutOfDescriptors) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  json config = ConfigJson(0, 0);
  config["limits"]["sockets"] = 64;
  for (rlim_t limit : {64, 16}) {  // within the configured limit, and below it
    GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config, API_GATEWAY, limit);
    std::vector<std::unique_ptr<TestConnection>> idle;
    while (idle.size() < 60) idle.push_back(fixture.gateway->Connect());
    auto client = fixture.gateway->Connect();
    if (limit < 64) idle.clear();
    EXPECT_NE(Exchange(*client, MakeRequest("quote")).status(), 0);
    idle.clear();
    int status = 0;
    for (int i = 0; i < 100 && status != 200; ++i) {
      status = Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status();
    }
    EXPECT_EQ(status, 200);
  }
}

// Idle clients hold every descriptor that clients may have while discovery is silent and the counter has
// gone. Then both come back at other addresses. The gateway still has descriptors for its connections to them
// and to a backend that it did not know before; idle clients are evicted and new ones served.
TEST(GatewayConnections, ReservesDescriptorsForItsOwnConnections) {
  constexpr rlim_t kDescriptors = 64;
  StubBackend before(RespondsWith(OkResponse("before"))), after(RespondsWith(OkResponse("after")));
  json config = ConfigJson(0, 0);
  config["limits"]["sockets"] = kDescriptors;
  GatewayFixture fixture(json::array({EndpointEntry("s1", before.port())}), config, API_GATEWAY,
                         kDescriptors);
  fixture.discovery.SetSilent(true);
  fixture.counter.Stop();
  std::vector<std::unique_ptr<TestConnection>> idle;
  idle.reserve(200);
  for (int i = 0; i < 200; ++i) idle.push_back(fixture.gateway->Connect());
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).body, "before")
      << "a new client is served";
  StubCounter counter([](const std::string&, double) { return BulkString("0"); });
  StubDiscovery discovery;
  discovery.Set(json::array({EndpointEntry("s2", after.port())}));
  config["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
  config["counter"] = "127.0.0.1:" + std::to_string(counter.port());
  fixture.gateway->Reload(config.dump());
  EXPECT_TRUE(discovery.AwaitApplied()) << "its connection to discovery comes up";
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).body, "after")
      << "and one to a backend";
  while (counter.calls.count() == 0) Exchange(*fixture.gateway->Connect(), MakeRequest("quote", 2));
  EXPECT_TRUE(idle.front()->AwaitEnd()) << "the one idle longest was evicted";
}

}  // namespace
}  // namespace gateway::net
