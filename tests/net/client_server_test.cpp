#include "net/client_server.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/event_loop.h"
#include "support/flooding_peer.h"
#include "support/test_connection.h"
#include "support/time_limit.h"

namespace gateway::net {
namespace {

using namespace test_support;

// A server in an event loop that the test runs, with a record of the requests that it has received.
struct ClientServerFixture : EventLoop {
  explicit ClientServerFixture(size_t max_connections = 100,
                               Clock::duration request_timeout = std::chrono::seconds(kWaitTimeoutS))
      : server(
            io, max_connections,
            [this](uint64_t connection, ClientRequest request, Clock::duration) {
              requests.emplace_back(connection, std::move(request));
            },
            [this](uint64_t, bool request_pending) { clients_left += request_pending; },
            [this](const ClientRequest&) { return max_end_check_time; }, request_timeout) {
    server.Listen(LoopbackEndpoint(0));
  }
  // What has been sent on loopback has arrived, so that this handles all of it.
  void RunReadyHandlers() {
    io.restart();
    while (io.poll() > 0) {
    }
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
  std::vector<std::pair<uint64_t, ClientRequest>> requests;  // each with the id of its connection
  Clock::duration max_end_check_time = std::chrono::seconds(kWaitTimeoutS);
  int clients_left = 0;  // number of clients that have left before their response
  ClientServer server;
};

std::string Post(const std::string& body) {
  return "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The connection limit is reached and another client waits to be accepted. A client has sent two requests at
// once. When the first one is answered, its session is idle for a moment while the second one is read but not
// yet processed. If the session were evicted then, a request that the gateway has received would get no
// response.
TEST(ClientServer, DoesNotEvictASessionWithAPipelinedRequest) {
  ClientServerFixture fixture(2);
  auto pipelining = fixture.Connect(), other = fixture.Connect();
  pipelining->Write(Post("one") + Post("two"));
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  other->Write(Post("other"));
  fixture.RunUntil([&] { return fixture.requests.size() == 2; });
  auto waiting = fixture.Connect();
  waiting->Write(Post("waiting"));
  fixture.RunUntil([&] { return !fixture.server.HasNoConnections(); });
  fixture.Reply(0, "first");
  EXPECT_EQ(pipelining->Read().body, "first");
  fixture.RunUntil([&] { return fixture.requests.size() == 3; });
  ASSERT_EQ(fixture.requests.size(), 3u);
  EXPECT_EQ(fixture.requests[2].second.body(), "two");
  fixture.Reply(2, "second");
  EXPECT_EQ(pipelining->Read().body, "second");
  fixture.RunUntil([&] { return fixture.requests.size() == 4; });  // the first session can be evicted now
  EXPECT_EQ(fixture.requests[3].second.body(), "waiting");
}

// The connection limit is reached when a client connects. One session has an incomplete request, whose last
// bytes have been received but not read yet. If the session were evicted, a request that the gateway has
// received would get no response.
TEST(ClientServer, DoesNotEvictASessionWhoseLastBytesAreUnread) {
  ClientServerFixture fixture(2);
  std::string request = Post("body");
  auto incomplete = fixture.Connect();
  incomplete->Write(request.substr(0, 20));
  fixture.RunUntil([&] { return fixture.server.incomplete_count() == 1; });
  auto new_client = fixture.Connect();  // before the rest is sent, so that it is accepted first
  incomplete->Write(request.substr(20));
  fixture.RunUntil([&] { return fixture.requests.size() == 1 || fixture.server.incomplete_count() == 0; });
  ASSERT_EQ(fixture.requests.size(), 1u);
  fixture.Reply(0, "response");
  EXPECT_EQ(incomplete->Read().body, "response");
}

// The connection limit is reached when a client connects. A session with an incomplete request and no unread
// bytes must be evicted, or clients that never complete a request could lock out new ones.
TEST(ClientServer, EvictsASessionWithAnIncompleteRequest) {
  ClientServerFixture fixture(2);
  auto incomplete = fixture.Connect();
  incomplete->Write(Post("body").substr(0, 20));
  fixture.RunUntil([&] { return fixture.server.incomplete_count() == 1; });
  auto new_client = fixture.Connect();
  new_client->Write(Post("new"));
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  EXPECT_TRUE(incomplete->AwaitEnd());
}

// Returns a request in each form whose rest may go on for long.
std::vector<EndlessMessage> EndlessRequests() {
  const std::string chunked = "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {{"request line", "GET /", "x"},
          {"field", "GET / HTTP/1.1\r\nX-More: ", "x"},
          {"body", "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n", "b"},
          {"extension", chunked + "1;", "x"},
          {"chunks", chunked, "1\r\nb\r\n"},
          {"trailer", chunked + "0\r\nX-More: ", "x"},
          {"refused", "what is this\r\n\r\n", "x"}};
}

// Clients each of which writes something before each handler of the event loop, so that their sockets are
// never found empty.
class Flood {
 public:
  Flood(ClientServerFixture& fixture, const EndlessMessage& message, int clients)
      : fixture_(fixture), message_(message) {
    for (int i = 0; i < clients; ++i) {
      clients_.push_back(fixture_.Connect());
      clients_.back()->Write(message_.begin);
    }
  }
  void WriteRest() {
    for (auto& client : clients_) client->Write(message_.rest);
  }
  // Runs handlers until `done()` returns true, at most `max_handlers`. Returns the last result of `done()`.
  bool RunUntil(const std::function<bool()>& done, int max_handlers) {
    for (int i = 0; i < max_handlers && !done(); ++i) {
      WriteRest();
      fixture_.io.restart();
      fixture_.io.run_one_for(std::chrono::milliseconds(1));
    }
    return done();
  }
  bool IsOpen(size_t client) const { return clients_.at(client)->IsOpen(); }
  TestConnection& client(size_t client) { return *clients_.at(client); }

 private:
  ClientServerFixture& fixture_;
  const EndlessMessage message_;
  std::vector<std::unique_ptr<TestConnection>> clients_;
};

// Few handlers, and so bytes and time, compared with the limits on a message and on lingering.
constexpr int kMaxFloodHandlers = 500;

// The time-out of a request is due, and whenever the server looks there are unread bytes, which may complete
// it (review case 6). If they put off the time-out for as long as there are any, a client that fills its
// socket for ever is never timed out.
TEST(ClientServer, TimesOutARequestWhoseClientFillsItsSocketForEver) {
  for (const EndlessMessage& message : EndlessRequests()) {
    if (message.form == std::string("refused")) continue;  // it is answered
    ClientServerFixture fixture(100, Clock::duration::zero());
    Flood flood(fixture, message, 1);
    EXPECT_TRUE(flood.RunUntil([&] { return !flood.IsOpen(0); }, kMaxFloodHandlers)) << message.form;
  }
}

// A gateway that shuts down closes the connections whose requests are incomplete. A client that fills its
// socket for ever has unread bytes whenever the server looks, and would keep the gateway from ending.
TEST(ClientServer, ClosesIncompleteSessionsWhoseClientsFillTheirSocketsForEver) {
  for (const EndlessMessage& message : EndlessRequests()) {
    ClientServerFixture fixture;
    Flood flood(fixture, message, 1);
    flood.RunUntil([&] { return fixture.server.incomplete_count() > 0; }, kMaxFloodHandlers);
    flood.WriteRest();
    fixture.server.CloseIncomplete();
    EXPECT_TRUE(flood.RunUntil([&] { return fixture.server.HasNoConnections(); }, kMaxFloodHandlers))
        << message.form;
  }
}

// The rest of a request has arrived when the gateway closes the connections whose requests are incomplete. It
// must be read, as a request that has arrived must get a response.
TEST(ClientServer, ServesARequestThatIsCompletedByUnreadBytesWhenIncompleteSessionsAreClosed) {
  ClientServerFixture fixture;
  const std::string request = Post(std::string(60000, 'b'));
  auto client = fixture.Connect();
  client->Write(request.substr(0, 20));
  fixture.RunUntil([&] { return fixture.server.incomplete_count() == 1; });
  client->Write(request.substr(20));
  fixture.server.CloseIncomplete();
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  EXPECT_TRUE(client->IsOpen());
}

// A request whose time-out is due arrives faster than it is read, so that its socket is never empty after a
// read either. The request comes to 1 MB, since its chunks of one byte have 15 bytes of framing each.
TEST(ClientServer, TimesOutARequestThatArrivesFasterThanItIsRead) {
  constexpr int kMaxHandlers = 150;  // the request has 210 parts
  constexpr int kChunksPerHandler = 312;
  ClientServerFixture fixture(100, Clock::duration::zero());
  Flood flood(fixture,
              {"fast chunks", "POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
               ChunksWithExtensions(7, kChunksPerHandler)},
              1);
  EXPECT_TRUE(flood.RunUntil([&] { return !flood.IsOpen(0); }, kMaxHandlers));
  EXPECT_TRUE(fixture.requests.empty());
}

// All connections are held by clients whose sockets are never found empty, while their requests are
// incomplete or have been refused. If a session with unread bytes were never evicted, another client would
// wait in the accept queue until the first of them ended.
TEST(ClientServer, EvictsClientsThatFillTheirSocketsForEver) {
  for (const EndlessMessage& message : EndlessRequests()) {
    ClientServerFixture fixture(2);
    Flood flood(fixture, message, 2);
    flood.RunUntil([&] { return fixture.server.incomplete_count() > 0; }, kMaxFloodHandlers);
    auto waiting = fixture.Connect();
    waiting->Write(Post("waiting"));
    EXPECT_TRUE(flood.RunUntil([&] { return fixture.requests.size() == 1; }, kMaxFloodHandlers))
        << message.form;
  }
}

// All connections are held by clients that send one complete request after another without a pause. If their
// sessions were kept for as long as a further request has arrived, another client would never be accepted.
TEST(ClientServer, MakesRoomWhenAllClientsSendRequestsForEver) {
  constexpr int kMaxHandlers = 2000;
  ClientServerFixture fixture(2);
  size_t replied = 0;
  bool served_other = false;
  auto reply_to_all = [&] {
    for (; replied < fixture.requests.size(); ++replied) {
      served_other = served_other || fixture.requests[replied].second.body() == "waiting";
      fixture.Reply(replied, "x");
    }
    return served_other;
  };
  Flood flood(fixture, {"requests", Post("first"), Post("next")}, 2);
  auto waiting = fixture.Connect();
  waiting->Write(Post("waiting"));
  EXPECT_TRUE(flood.RunUntil(reply_to_all, kMaxHandlers));
}

// All connections are held by clients whose requests are followed by a byte that may be the rest of a body
// (review case 10). If they were held back while another client waits, it would wait for them all.
TEST(ClientServer, RejectsARequestThatIsHeldBackWhenAnotherClientWaits) {
  ClientServerFixture fixture(2);
  fixture.max_end_check_time = std::chrono::hours(1);
  auto held_back = fixture.Connect(), other = fixture.Connect();
  held_back->Write(Post("one") + "P");
  fixture.RunReadyHandlers();
  other->Write(Post("two") + "P");
  auto waiting = fixture.Connect();
  waiting->Write(Post("waiting"));
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  EXPECT_EQ(fixture.requests[0].second.body(), "waiting");
  EXPECT_EQ(held_back->Read().status(), 400);
}

// The bytes that tell that a request is not cut off are unread when another client waits. The request has
// arrived and must be served.
TEST(ClientServer, ServesARequestThatIsHeldBackWhenUnreadBytesTellItsEnd) {
  ClientServerFixture fixture(2);
  fixture.max_end_check_time = std::chrono::hours(1);
  const std::string next = Post("next");
  auto held_back = fixture.Connect();
  held_back->Write(Post("one") + next.substr(0, 1));
  fixture.RunReadyHandlers();
  auto new_client = fixture.Connect();
  held_back->Write(next.substr(1));
  fixture.RunUntil([&] { return !fixture.requests.empty() || held_back->IsReadable(); });
  ASSERT_EQ(fixture.requests.size(), 1u);
  EXPECT_EQ(fixture.requests[0].second.body(), "one");
}

// A request is followed by the first part of a request line that never ends. If unread bytes put off the end
// of the wait for the rest of that line for as long as there are any, the request would be held for ever.
TEST(ClientServer, RejectsARequestThatIsFollowedByALineWithoutEnd) {
  ClientServerFixture fixture;
  fixture.max_end_check_time = std::chrono::milliseconds(1);
  Flood flood(fixture, {"request line behind a request", Post("one") + "GET /", "x"}, 1);
  fixture.RunReadyHandlers();
  std::this_thread::sleep_for(fixture.max_end_check_time);
  ASSERT_TRUE(flood.RunUntil([&] { return flood.client(0).IsReadable(); }, kMaxFloodHandlers));
  EXPECT_EQ(flood.client(0).Read().status(), 400);
  EXPECT_TRUE(fixture.requests.empty());
}

// A client has sent the rest of a large request, which is more than one read returns, when the connection
// limit is reached. If its session were evicted before all of it has been read, a request that has arrived
// would get no response.
TEST(ClientServer, DoesNotEvictASessionWhoseUnreadBytesCompleteALargeRequest) {
  ClientServerFixture fixture(2);
  const std::string request = Post(std::string(60000, 'b'));
  auto large = fixture.Connect();
  large->Write(request.substr(0, 20));
  fixture.RunUntil([&] { return fixture.server.incomplete_count() == 1; });
  auto new_client = fixture.Connect();
  large->Write(request.substr(20));
  fixture.RunUntil([&] { return fixture.requests.size() == 1 || fixture.server.incomplete_count() == 0; });
  ASSERT_EQ(fixture.requests.size(), 1u);
  EXPECT_EQ(fixture.requests[0].second.body().size(), 60000u);
}

// The event loop is late: the timeout of a request expires while its last bytes are received but unread. The
// client was in time, so the server must read them before it checks the timeout. A request whose rest has not
// been received must time out.
TEST(ClientServer, ReadsUnreadBytesBeforeTimingOutARequest) {
  ClientServerFixture fixture(100, Clock::duration::zero());
  auto client = fixture.Connect();
  client->Write(Post(std::string(20000, 'b')));  // more than one read returns
  fixture.RunUntil([&] { return fixture.requests.size() == 1 || !client->IsOpen(); });
  ASSERT_EQ(fixture.requests.size(), 1u);
  EXPECT_EQ(fixture.requests[0].second.body().size(), 20000u);
  auto incomplete = fixture.Connect();
  incomplete->Write(Post("body").substr(0, 20));
  fixture.RunUntil([&] { return !incomplete->IsOpen(); });
}

// A client half-closes its connection while its response is partly written. This does not mean that it has
// left, so it must get the rest of the response.
TEST(ClientServer, CompletesAResponseAfterTheClientHalfCloses) {
  ClientServerFixture fixture;
  auto client = fixture.Connect();
  client->Write(Post("x"));
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  std::string body(24 << 20, 'b');
  fixture.Reply(0, body);
  client->HalfClose();
  for (int i = 0; i < 10; ++i) fixture.io.poll_one();  // sees the half-close while the socket is full
  std::string received_body;
  std::thread reader([&] { received_body = client->Read().body; });
  fixture.RunUntil([&] { return fixture.server.HasNoConnections(); });
  reader.join();
  EXPECT_EQ(received_body.size(), body.size());
}

// After a head that arrives in parts, the session's buffer is larger than one read needs and is shrunk after
// the response. If it were shrunk while a read into it is pending, the next request would be lost.
TEST(ClientServer, KeepsTheNextRequestAfterAHeadThatArrivesInParts) {
  ClientServerFixture fixture;
  auto client = fixture.Connect();
  std::string request = Post("one");
  client->Write(request.substr(0, 20));
  fixture.RunUntil([&] { return fixture.server.incomplete_count() == 1; });
  client->Write(request.substr(20));
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  fixture.Reply(0, "first");
  EXPECT_EQ(client->Read().body, "first");
  for (int i = 0; i < 10; ++i) fixture.io.poll_one();
  client->Write(Post("two"));
  fixture.RunUntil([&] { return fixture.requests.size() == 2; });
  EXPECT_EQ(fixture.requests.at(1).second.body(), "two");
}

// A client sends so much before its response that the server stops reading, and then leaves. The end of the
// connection follows the unread bytes, so that reads would never reach it, and the request would be forwarded
// for a client that has left.
TEST(ClientServer, DetectsThatAClientHasLeftBehindUnreadBytes) {
  for (bool reset : {false, true}) {
    ClientServerFixture fixture;
    auto client = fixture.Connect();
    client->Write(Post("in flight"));
    fixture.RunUntil([&] { return fixture.requests.size() == 1; });
    client->Write(std::string(100000, 'p'));
    for (int i = 0; i < 100; ++i) fixture.io.poll_one();
    if (reset) {
      client->Reset();
    } else {
      client->Close();
    }
    fixture.RunUntil([&] { return fixture.clients_left == 1; });
  }
}

// All connections are used by clients that wait for their responses when another client connects, so that no
// session can be evicted. The first session that becomes idle must be evicted, or the new client would stay
// in the accept queue forever.
TEST(ClientServer, AcceptsAgainAfterARequestIsAnswered) {
  ClientServerFixture fixture(1);
  auto first = fixture.Connect();
  first->Write(Post("first"));
  fixture.RunUntil([&] { return fixture.requests.size() == 1; });
  auto second = fixture.Connect();
  second->Write(Post("second"));
  for (int i = 0; i < 100; ++i) fixture.io.poll_one();
  fixture.Reply(0, "x");
  fixture.RunUntil([&] { return fixture.requests.size() == 2; });
  EXPECT_EQ(first->Read().status(), 200);
  EXPECT_EQ(fixture.clients_left, 0);
}

}  // namespace
}  // namespace gateway::net
