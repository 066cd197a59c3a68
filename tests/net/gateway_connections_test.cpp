// Tests of a running gateway's connections to clients and backends: their limits, idle times and reuse.
#include <netinet/in.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "support/flooding_peer.h"
#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// Clients connect and then send nothing, only empty lines, part of a head or part of a body. Another one
// sends part of a second request after its first was served. Each would hold a descriptor for ever if the
// gateway did not close the connection itself.
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
  auto began_at = std::chrono::steady_clock::now();
  for (auto& connection : incomplete) EXPECT_TRUE(connection->AwaitEnd());
  EXPECT_TRUE(served->AwaitEnd());
  EXPECT_LT(std::chrono::steady_clock::now() - began_at, std::chrono::seconds(kWaitTimeoutS / 2))
      << "the gateway did not close the connections by a time-out of its own";
}

// More clients than there are descriptors send part of a request and stop. A client with a complete request
// still has to be served: clients with incomplete requests are evicted just as idle ones are.
TEST(GatewayConnections, EvictsIncompleteRequestsForANewClient) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  json config = ConfigJson(0, 0);
  config["limits"]["sockets"] = 64;
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  std::vector<std::unique_ptr<TestConnection>> incomplete;
  for (int i = 0; i < 80; ++i) {
    incomplete.push_back(fixture.gateway->Connect());
    incomplete.back()->Write(MakeRequest("quote").substr(0, 60));
  }
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
}

// 400 clients each send nearly all of a 64 KiB body and stop. There are enough descriptors for them but not
// enough memory, so the memory limit has to bound the number of clients too. New clients are still served.
TEST(GatewayConnections, BoundsClientsByTheMemoryLimit) {
  json config = ConfigJson(0, 0);
  config["limits"]["memory_mb"] = 16;
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}), config);
  std::string incomplete_request =
      MakeRequest("send-lead", 1, 3000, "Content-Length: 65536\r\n") + std::string(65000, 'b');
  std::vector<std::unique_ptr<TestConnection>> clients;
  for (int i = 0; i < 400; ++i) {
    clients.push_back(fixture.gateway->Connect());
    clients.back()->Write(incomplete_request);
  }
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).status(), 200);
  EXPECT_LT(fixture.gateway->PeakResidentMb(), 16);
}

// A client sends two requests and part of a third without waiting for a response. Bytes that arrive before a
// response is sent belong to the next request. If they were lost or misplaced, every later request on the
// connection would be malformed.
TEST(GatewayConnections, ServesPipelinedRequestsInOrder) {
  StubBackend backend([](const HttpMessage& request, TestConnection&) { return OkResponse(request.body); });
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

// A client sends a few thousand requests at once. Each has to be answered, and the gateway must not read so
// far ahead that its buffer overflows.
TEST(GatewayConnections, AnswersThousandsOfRequestsThatAreSentAtOnce) {
  constexpr int kRequests = 4000;
  GatewayFixture fixture(json::array());
  auto client = fixture.gateway->Connect();
  std::string requests;
  for (int i = 0; i < kRequests; ++i) requests += kReadinessRequest;
  std::thread sender([&] { client->Write(requests); });
  for (int i = 0; i < kRequests; ++i) ASSERT_EQ(client->Read().status(), 200) << i;
  sender.join();
}

// All connections are held by clients that send one valid request behind another for ever (review case 6 has
// incomplete ones). If each of them kept its connection until all requests that the gateway has read were
// served, a new client would get its answer long after its time.
TEST(GatewayConnections, AnswersANewClientWhileAllOthersSendRequestsForEver) {
  constexpr auto kServiceTime = std::chrono::milliseconds(200);
  constexpr int kTimeoutMs = 3000;
  constexpr int kBackends = 50;
  constexpr int kClients = 9;  // as many connections as the descriptors allow for clients
  constexpr int kRequestsPerClient = 200;
  StubBackend backend([&](const HttpMessage&, TestConnection&) {
    std::this_thread::sleep_for(kServiceTime);
    return OkResponse("x");
  });
  json config = ConfigJson(0, 0);
  config["limits"]["sockets"] = 64;
  json endpoints = json::array();
  for (int i = 0; i < kBackends; ++i) {
    endpoints.push_back(EndpointEntry(std::to_string(i), backend.port()));
  }
  GatewayFixture fixture(endpoints, config);
  std::vector<std::unique_ptr<TestConnection>> clients;
  std::vector<std::unique_ptr<FloodingPeer>> floods;
  int tenant = 0;
  for (int i = 0; i < kClients; ++i) {
    std::string requests;
    for (int j = 0; j < kRequestsPerClient; ++j) requests += ForTenant(++tenant, MakeRequest("send-lead"));
    clients.push_back(fixture.gateway->Connect());
    floods.push_back(std::make_unique<FloodingPeer>(*clients.back(), requests));
  }
  EXPECT_TRUE(backend.requests.Wait(kClients));
  auto began_at = std::chrono::steady_clock::now();
  EXPECT_TRUE(Exchange(*fixture.gateway->Connect(), MakeRequest("quote", 1, kTimeoutMs)).complete);
  EXPECT_LT(std::chrono::steady_clock::now() - began_at, std::chrono::milliseconds(kTimeoutMs));
}

// How a backend makes its connection stale.
enum class StaleBy { kClose, kCloseHeader, kSecondCopy, kBytesInDoubt, kLateBytes };

// Sends the response with this number and makes the connection stale. Late bytes are sent when the response
// has been forwarded. Reports to `closed` when the gateway has closed a connection because of the bytes
// behind the response.
std::string RespondAndBecomeStale(StaleBy how, int number, TestConnection& connection, Event* forwarded,
                                  Event* closed) {
  if (how == StaleBy::kCloseHeader) return OkResponse("x", "Connection: close\r\n");
  std::string following;
  if (how == StaleBy::kSecondCopy) following = OkResponse("x");
  if (how == StaleBy::kBytesInDoubt) following = "unasked";
  connection.Write(OkResponse("x") + following);
  if (how == StaleBy::kClose) return "";
  if (how == StaleBy::kLateBytes) {
    forwarded->Wait(number);
    connection.Write("unasked");
  }
  if (connection.AwaitEnd()) closed->Add();
  return "";
}

void ExpectStaleConnectionNotReused(StaleBy how) {
  SCOPED_TRACE("variant " + std::to_string(static_cast<int>(how)));
  Event forwarded, closed;
  std::atomic<int> responses{0};
  StubBackend backend([&](const HttpMessage&, TestConnection& connection) {
    return RespondAndBecomeStale(how, ++responses, connection, &forwarded, &closed);
  });
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  auto client = fixture.gateway->Connect();
  // Bytes that arrive together with the response may be the rest of its body, so it is not forwarded.
  int expected_status = how == StaleBy::kBytesInDoubt ? 502 : 200;
  EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), expected_status);
  forwarded.Add();
  if (how != StaleBy::kClose && how != StaleBy::kCloseHeader) {
    EXPECT_TRUE(closed.Wait());
  }
  // The backend's close may cross the next request. For any request after that one the gateway knows of
  // the close.
  if (how == StaleBy::kClose) Exchange(*client, MakeRequest("quote"));
  EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), expected_status);
  forwarded.Add();
}

// A backend closes an idle connection, announces that it will close it, or sends unsolicited bytes on it. The
// next request on such a connection would be reset, or get a response that is not its own.
TEST(GatewayConnections, ReusesNoStaleBackendConnection) {
  for (StaleBy how : {StaleBy::kClose, StaleBy::kCloseHeader, StaleBy::kSecondCopy, StaleBy::kBytesInDoubt,
                      StaleBy::kLateBytes}) {
    ExpectStaleConnectionNotReused(how);
  }
}

// Backends close connections that have been idle for some time. A request written at that very moment ends in
// a reset and may have run, so the gateway has to close its idle connections first.
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

// A backend's accept queue is full, so that the connection is established only after its attempt was given
// up. No byte of the request may be sent on it.
TEST(GatewayConnections, SendsNothingOnABackendConnectionThatIsEstablishedLate) {
  sockaddr_in address;
  int fd = OpenLoopbackSocket(&address, 0);
  ASSERT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
  ASSERT_EQ(listen(fd, 0), 0);
  socklen_t size = sizeof(address);
  getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  auto filler = TestConnection::ConnectTo(ntohs(address.sin_port));  // fills the listener's accept queue
  {
    GatewayFixture fixture(json::array({EndpointEntry("s1", ntohs(address.sin_port))}));
    auto client = fixture.gateway->Connect();
    EXPECT_EQ(Exchange(*client, MakeRequest("send-lead")).status(), 503);
  }
  // The gateway has exited, so everything that it ever sent has arrived.
  pollfd ready{fd, POLLIN, 0};
  for (int i = 0; i < 20 && poll(&ready, 1, 0) > 0; ++i) {
    TestConnection late(accept(fd, nullptr, nullptr));
    filler->Close();
    late.Receive();
    EXPECT_EQ(late.unread, "");
  }
  close(fd);
}

// More clients connect than the process may open descriptors. The process's limit is once equal to the
// gateway's configured limit and once below it. Idle clients have to be evicted, or new ones wait to be
// accepted. Requests have to be served again once clients have disconnected.
TEST(GatewayConnections, SurvivesRunningOutOfDescriptors) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  json config = ConfigJson(0, 0);
  config["limits"]["sockets"] = 64;
  for (rlim_t limit : {64, 16}) {  // equal to the configured limit, and below it
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

// Idle clients hold every descriptor that clients may use while discovery is silent and the counter is down.
// Then a reload gives other addresses for both. The gateway must still have descriptors for its connections
// to them and to a backend that is new to it, and must evict idle clients and serve new ones. Without
// reserved descriptors it would stay cut off from discovery and the counter.
TEST(GatewayConnections, ReservesDescriptorsForItsOwnConnections) {
  constexpr rlim_t kDescriptors = 64;
  StubBackend old_backend(RespondsWith(OkResponse("before"))), new_backend(RespondsWith(OkResponse("after")));
  json config = ConfigJson(0, 0);
  config["limits"]["sockets"] = kDescriptors;
  GatewayFixture fixture(json::array({EndpointEntry("s1", old_backend.port())}), config, API_GATEWAY,
                         kDescriptors);
  fixture.discovery.SetSilent(true);
  fixture.counter.Stop();
  std::vector<std::unique_ptr<TestConnection>> idle;
  idle.reserve(200);
  for (int i = 0; i < 200; ++i) idle.push_back(fixture.gateway->Connect());
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).body, "before")
      << "a new client is not served";
  StubCounter counter([](const std::string&, double) { return BulkString("0"); });
  StubDiscovery discovery;
  discovery.Set(json::array({EndpointEntry("s2", new_backend.port())}));
  config["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
  config["counter"] = "127.0.0.1:" + std::to_string(counter.port());
  fixture.gateway->Reload(config.dump());
  EXPECT_TRUE(discovery.AwaitApplied()) << "the gateway cannot connect to discovery";
  EXPECT_EQ(Exchange(*fixture.gateway->Connect(), MakeRequest("quote")).body, "after")
      << "the gateway cannot connect to a new backend";
  while (counter.calls.count() == 0) Exchange(*fixture.gateway->Connect(), MakeRequest("quote", 2));
  EXPECT_TRUE(idle.front()->AwaitEnd()) << "the client that was idle longest was not evicted";
}

}  // namespace
}  // namespace gateway::net
