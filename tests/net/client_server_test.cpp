#include "net/client_server.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/event_loop.h"
#include "support/test_connection.h"
#include "support/time_limit.h"

namespace gateway::net {
namespace {

using namespace test_support;

// A server and its clients' connections, in a loop that the test turns.
struct ClientServerFixture : EventLoop {
  explicit ClientServerFixture(size_t max_connections = 100,
                               Clock::duration request_timeout = std::chrono::seconds(kWaitTimeoutS))
      : server(
            io, max_connections,
            [this](uint64_t connection, ClientRequest request) {
              requests.emplace_back(connection, std::move(request));
            },
            [this](uint64_t, bool request_pending) { clients_left += request_pending; }, request_timeout) {
    server.Listen(LoopbackEndpoint(0));
  }
  std::unique_ptr<TestConnection> Connect() {
    return TestConnection::ConnectTo(server.local_endpoint().port());
  }
  void Reply(size_t request, std::string body) {
    Response response;
    response.status = 200;
    response.body = std::move(body);
    server.Reply(requests.at(request).first, std::move(response));
  }
  std::vector<std::pair<uint64_t, ClientRequest>> requests;  // each with its connection
  int clients_left = 0;                                      // whose request was not answered
  ClientServer server;
};

std::string Post(const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// All places are taken and one more client waits. A client has sent two requests at once; when the first is
// answered its session is idle for a moment, with the second read and not looked at. If it were evicted to
// make room, a request that the gateway has received would end without a response.
TEST(ClientServer, EvictsNoSessionThatHoldsAPipelinedRequest) {
  ClientServerFixture s(2);
  auto pipelining = s.Connect(), other = s.Connect();
  pipelining->Write(Post("one") + Post("two"));
  s.RunUntil([&] { return s.requests.size() == 1; });
  other->Write(Post("other"));
  s.RunUntil([&] { return s.requests.size() == 2; });
  auto waiting = s.Connect();
  waiting->Write(Post("waiting"));
  s.RunUntil([&] { return !s.server.HasNoConnections(); });
  s.Reply(0, "first");
  EXPECT_EQ(pipelining->Read().body, "first");
  s.RunUntil([&] { return s.requests.size() == 3; });
  ASSERT_EQ(s.requests.size(), 3u);
  EXPECT_EQ(s.requests[2].second.body(), "two");
  s.Reply(2, "second");
  EXPECT_EQ(pipelining->Read().body, "second");
  s.RunUntil([&] { return s.requests.size() == 4; });  // now there is room
  EXPECT_EQ(s.requests[3].second.body(), "waiting");
}

// All places are taken when a client connects. One session has an incomplete request, whose last bytes are in
// its socket but not read yet. If it were evicted a request that the gateway has received would end without a
// response.
TEST(ClientServer, EvictsNoRequestWhoseLastBytesAreUnread) {
  ClientServerFixture s(2);
  std::string request = Post("body");
  auto incomplete = s.Connect();
  incomplete->Write(request.substr(0, 20));
  s.RunUntil([&] { return s.server.incomplete_count() == 1; });
  auto fresh = s.Connect();  // before the rest, so that it is accepted first
  incomplete->Write(request.substr(20));
  s.RunUntil([&] { return s.requests.size() == 1 || s.server.incomplete_count() == 0; });
  ASSERT_EQ(s.requests.size(), 1u);
  s.Reply(0, "response");
  EXPECT_EQ(incomplete->Read().body, "response");
}

// All places are taken when a client connects. A session whose request is incomplete, and of which nothing is
// unread, is evicted, and the new client is served.
TEST(ClientServer, EvictsAnIncompleteRequest) {
  ClientServerFixture s(2);
  auto incomplete = s.Connect();
  incomplete->Write(Post("body").substr(0, 20));
  s.RunUntil([&] { return s.server.incomplete_count() == 1; });
  auto fresh = s.Connect();
  fresh->Write(Post("new"));
  s.RunUntil([&] { return s.requests.size() == 1; });
  EXPECT_TRUE(incomplete->AwaitEnd());
}

// The event loop is late: the time for a request to be complete is over when its last bytes are there but not
// read. They are read first, as the client was in time. A request whose rest has not come is timed out.
TEST(ClientServer, ReadsUnreadBytesBeforeItTimesOutARequest) {
  ClientServerFixture s(100, Clock::duration::zero());
  auto client = s.Connect();
  client->Write(Post(std::string(20000, 'b')));  // more than one read takes in
  s.RunUntil([&] { return s.requests.size() == 1 || !client->IsOpen(); });
  ASSERT_EQ(s.requests.size(), 1u);
  EXPECT_EQ(s.requests[0].second.body().size(), 20000u);
  auto incomplete = s.Connect();
  incomplete->Write(Post("body").substr(0, 20));
  s.RunUntil([&] { return !incomplete->IsOpen(); });
}

// A client ends its sending while its response is written by half. That is no sign that it has left: it gets
// the rest.
TEST(ClientServer, CompletesAResponseAfterTheClientHalfCloses) {
  ClientServerFixture s;
  auto client = s.Connect();
  client->Write(Post("x"));
  s.RunUntil([&] { return s.requests.size() == 1; });
  std::string body(24 << 20, 'b');
  s.Reply(0, body);
  client->HalfClose();
  for (int i = 0; i < 10; ++i) s.io.poll_one();  // the end is seen while the response waits for the socket
  std::string got;
  std::thread reader([&] { got = client->Read().body; });
  s.RunUntil([&] { return s.server.HasNoConnections(); });
  reader.join();
  EXPECT_EQ(got.size(), body.size());
}

// A head that comes in parts leaves the session's buffer larger than one read needs, so that it is shrunk
// after the response. Shrinking it while a read into it is pending would lose the next request.
TEST(ClientServer, KeepsTheNextRequestAfterAHeadInParts) {
  ClientServerFixture s;
  auto client = s.Connect();
  std::string request = Post("one");
  client->Write(request.substr(0, 20));
  s.RunUntil([&] { return s.server.incomplete_count() == 1; });
  client->Write(request.substr(20));
  s.RunUntil([&] { return s.requests.size() == 1; });
  s.Reply(0, "first");
  EXPECT_EQ(client->Read().body, "first");
  for (int i = 0; i < 10; ++i) s.io.poll_one();
  client->Write(Post("two"));
  s.RunUntil([&] { return s.requests.size() == 2; });
  EXPECT_EQ(s.requests.at(1).second.body(), "two");
}

// A client has sent so much ahead of its response that nothing more is read of it, and then leaves. Its end
// comes after the unread bytes, so that reading would never find it, and its request would be forwarded for
// nobody.
TEST(ClientServer, NoticesThatAClientLeftWhoseBufferIsFull) {
  for (bool reset : {false, true}) {
    ClientServerFixture s;
    auto client = s.Connect();
    client->Write(Post("in flight"));
    s.RunUntil([&] { return s.requests.size() == 1; });
    client->Write(std::string(100000, 'p'));
    for (int i = 0; i < 100; ++i) s.io.poll_one();
    if (reset) {
      client->Reset();
    } else {
      client->Close();
    }
    s.RunUntil([&] { return s.clients_left == 1; });
  }
}

// Every place is taken by a client that waits for its response when another one connects. Nothing can be
// evicted then. The first session to be idle again has to make room, or the new client would wait in the
// accept queue for ever.
TEST(ClientServer, AcceptsAgainWhenARequestIsAnswered) {
  ClientServerFixture s(1);
  auto first = s.Connect();
  first->Write(Post("first"));
  s.RunUntil([&] { return s.requests.size() == 1; });
  auto second = s.Connect();
  second->Write(Post("second"));
  for (int i = 0; i < 100; ++i) s.io.poll_one();
  s.Reply(0, "x");
  s.RunUntil([&] { return s.requests.size() == 2; });
  EXPECT_EQ(first->Read().status(), 200);
  EXPECT_EQ(s.clients_left, 0);
}

}  // namespace
}  // namespace gateway::net
