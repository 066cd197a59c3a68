#include "net/backend_connection_pool.h"

#include <poll.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/event_loop.h"
#include "support/http_message.h"
#include "support/manual_listener.h"
#include "support/ready_sockets.h"
#include "support/stub_server.h"
#include "support/test_connection.h"

namespace gateway::net {
namespace {

using namespace test_support;
using policy::CallResult;

// A pool among backends of the test's own, in a loop that the test turns.
struct PoolFixture : EventLoop {
  explicit PoolFixture(double settle_s = 0, double idle_s = 30, double connect_timeout_s = 5)
      : pool(io, idle_s, connect_timeout_s, 0.5, 100, settle_s) {}
  uint64_t Send(uint32_t backend, const std::string& request) {
    return pool.Send(
        backend, [request](double) { return request; }, 50,
        [this](AttemptResult end) { ends.push_back(std::move(end)); });
  }
  std::vector<AttemptResult> ends;  // of the attempts, as they ended
  BackendConnectionPool pool;
};

// An attempt is cancelled in the very handler that has written its last bytes, while the callback that says
// so is still queued. If the pool went by the callback it would report the request as not sent, and a retry
// would run it a second time. A request far larger than both sockets' buffers makes sure that its last bytes
// go out late.
TEST(BackendConnectionPool, CancelKnowsAWrittenRequestBeforeItsCallback) {
  std::string request(24 << 20, 'b');
  ManualListener backend;
  PoolFixture p;
  p.pool.Update(1, LoopbackEndpoint(backend.port()));
  uint64_t attempt = p.Send(1, request);
  p.RunUntil([&] { return backend.HasPending(); });
  auto connection = backend.Accept();
  size_t got = 0;
  bool complete = false;
  CancelResult cancelled = CancelResult::kAlreadyEnded;
  auto end = Clock::now() + std::chrono::seconds(kWaitTimeoutS);
  pollfd ready{connection->fd(), POLLIN, 0};
  while (!complete && Clock::now() < end) {
    // Everything is read before the loop takes its next step, so that one step may write the rest.
    while (poll(&ready, 1, 5) > 0 && connection->Receive()) {
      got += connection->unread.size();
      connection->unread.clear();
    }
    complete = got == request.size();
    if (complete) {
      cancelled = p.pool.Cancel(attempt);
    } else {
      p.io.restart();
      p.io.poll_one();
    }
  }
  EXPECT_EQ(got, request.size());
  EXPECT_EQ(cancelled, CancelResult::kMayHaveRun) << "the backend has its last byte";
}

void AwaitReadable(PoolFixture& p, const TestConnection& connection) {
  pollfd ready{connection.fd(), POLLIN, 0};
  p.RunUntil([&] { return poll(&ready, 1, 0) > 0; });
}

// Cancels an attempt whose connection is not up yet. Returns the connection.
std::unique_ptr<TestConnection> DropWhileConnecting(PoolFixture& p, ManualListener& backend) {
  uint64_t attempt = p.Send(1, "unsent");
  EXPECT_TRUE(p.pool.CancelIfUnsent(attempt));
  EXPECT_FALSE(p.pool.CancelIfUnsent(attempt));
  return backend.Accept();
}

void ExpectWrittenAttemptGoesOn(PoolFixture& p, ManualListener& backend) {
  uint64_t attempt = p.Send(1, "complete");
  auto connection = backend.Accept();
  AwaitReadable(p, *connection);
  EXPECT_FALSE(p.pool.CancelIfUnsent(attempt)) << "the backend has all of it";
  connection->Write(OkResponse("x"));
  p.RunUntil([&] { return p.ends.size() == 1; });
  EXPECT_EQ(p.ends[0].result, CallResult::kOk);
}

// The client of a request has left. An attempt whose connection is still to come up, or of which only a part
// has been written, has not run and is cancelled: nothing more of it may reach the backend. One that is
// completely written may have run, so it goes on to its response.
TEST(BackendConnectionPool, CancelIfUnsentCancelsOnlyIncompletelyWrittenRequests) {
  std::string request(24 << 20, 'b');
  ManualListener backend;
  PoolFixture p;
  p.pool.Update(1, LoopbackEndpoint(backend.port()));
  auto first = DropWhileConnecting(p, backend);
  uint64_t partial = p.Send(1, request);
  auto second = backend.Accept();
  AwaitReadable(p, *second);
  EXPECT_TRUE(p.pool.CancelIfUnsent(partial));
  while (first->Receive() || second->Receive()) {
  }
  EXPECT_EQ(first->unread, "");
  EXPECT_GT(second->unread.size(), 0u);
  EXPECT_LT(second->unread.size(), request.size());
  ExpectWrittenAttemptGoesOn(p, backend);
}

// The backend has the complete request. Its response is there, but not read yet, when the attempt is
// cancelled; or the connection is reset in place of a response. The request may have run in both cases,
// whichever event is seen first.
TEST(BackendConnectionPool, AnAttemptThatEndsAsItsResponseComesMayHaveRun) {
  ManualListener backend;
  PoolFixture p;
  p.pool.Update(1, LoopbackEndpoint(backend.port()));
  uint64_t attempt = p.Send(1, "request");
  p.RunUntil([&] { return backend.HasPending(); });
  auto connection = backend.Accept();
  pollfd ready{connection->fd(), POLLIN, 0};
  p.RunUntil([&] { return poll(&ready, 1, 0) > 0; });
  connection->Write(OkResponse("x"));  // unread when the attempt is cancelled
  EXPECT_EQ(p.pool.Cancel(attempt), CancelResult::kMayHaveRun);
  attempt = p.Send(1, "request");
  p.RunUntil([&] { return backend.HasPending(); });
  connection = backend.Accept();
  ready.fd = connection->fd();
  p.RunUntil([&] { return poll(&ready, 1, 0) > 0; });
  connection->Reset();
  p.RunUntil([&] { return p.ends.size() == 1; });
  EXPECT_EQ(p.ends[0].result, CallResult::kReset);
}

// A connection has come up but the pool has not seen that yet. Then the endpoint list says that the backend
// is draining for longer than its grace, gone, or at another address. A request that was sent all the same
// would reach a backend that must not get it. The grace runs from the notification, which may be long before
// the list was read.
TEST(BackendConnectionPool, SendsNothingWhenTheEndpointListOvertakesTheConnect) {
  for (std::string change : {"drained long ago", "drained now", "gone", "moved"}) {
    ManualListener backend;
    PoolFixture p;
    p.pool.Update(1, LoopbackEndpoint(backend.port()));
    p.Send(1, "request");
    if (change == "drained long ago") p.pool.Drain(1, Clock::now() - std::chrono::seconds(5));
    if (change == "drained now") p.pool.Drain(1, Clock::now());
    if (change == "gone") p.pool.Remove(1);
    if (change == "moved") p.pool.Update(1, LoopbackEndpoint(UnusedPort()));
    if (change == "drained now") {
      p.RunUntil([&] { return backend.HasPending(); });
      auto connection = backend.Accept();
      pollfd ready{connection->fd(), POLLIN, 0};
      p.RunUntil([&] { return poll(&ready, 1, 0) > 0 || !p.ends.empty(); });
      continue;  // within its grace, or past it on a slow machine: either is right
    }
    p.RunUntil([&] { return p.ends.size() == 1; });
    EXPECT_EQ(p.ends[0].result, CallResult::kConnectFailed) << change;
    EXPECT_EQ(backend.ReceiveAll(), "") << change;
  }
}

// A faulty backend sends its response twice, some milliseconds apart. On a connection that is used again at
// once the second one would pass for the response to the next request, perhaps another client's. The next
// request goes out on another connection instead.
TEST(BackendConnectionPool, SettlesAConnectionBeforeItsNextRequest) {
  ManualListener backend;
  PoolFixture p(1000);
  p.pool.Update(1, LoopbackEndpoint(backend.port()));
  p.Send(1, "one");
  p.RunUntil([&] { return backend.HasPending(); });
  auto first = backend.Accept();
  first->Write(OkResponse("one"));
  p.RunUntil([&] { return p.ends.size() == 1; });
  p.Send(1, "two");
  first->Write(OkResponse("one again"));
  p.RunUntil([&] { return backend.HasPending(); });
  ASSERT_TRUE(backend.HasPending());
  auto second = backend.Accept();
  second->Write(OkResponse("two"));
  p.RunUntil([&] { return p.ends.size() == 2; });
  EXPECT_EQ(p.ends[1].body, "two");
}

// A connection that has settled after its response carries the next request: three requests need one
// connection.
TEST(BackendConnectionPool, ReusesASettledConnection) {
  ManualListener backend;
  PoolFixture p(0);
  p.pool.Update(1, LoopbackEndpoint(backend.port()));
  std::unique_ptr<TestConnection> connection;
  for (size_t i = 1; i <= 3; ++i) {
    p.Send(1, "one");
    if (connection == nullptr) {
      p.RunUntil([&] { return backend.HasPending(); });
      connection = backend.Accept();
    }
    connection->Write(OkResponse("one"));
    p.RunUntil([&] { return p.ends.size() == i; });
  }
  EXPECT_FALSE(backend.HasPending());
}

// The process is held up past the connect time-out, and the connection came up meanwhile, behind more events
// than the event loop takes from the system at once. Ended as failed it would count against a backend that is
// well.
TEST(BackendConnectionPool, UsesAConnectionThatCameUpBeforeTheTimeout) {
  constexpr double kConnectTimeoutS = 2;
  ManualListener backend(0);
  auto filler = TestConnection::ConnectTo(backend.port());
  PoolFixture p(0, 30, kConnectTimeoutS);
  ReadySockets ready(p.io);
  p.pool.Update(1, LoopbackEndpoint(backend.port()));
  p.Send(1, "one");
  p.io.restart();
  p.io.poll();
  asio::steady_timer earlier(p.io, std::chrono::milliseconds(1));
  earlier.async_wait([](error_code) {});
  // The hold: the loop does not turn.
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  ready.MakeReady();
  backend.Accept();
  std::this_thread::sleep_for(Seconds(kConnectTimeoutS + 0.2));
  ASSERT_TRUE(backend.HasPending());
  auto connection = backend.Accept();
  connection->Write(OkResponse("one"));
  p.RunUntil([&] { return p.ends.size() == 1; });
  EXPECT_EQ(p.ends[0].result, CallResult::kOk);
}

// The process is held up while a connection is idle, past the time after which it would have been closed. Its
// backend is about to close it too: a request that crosses that close ends as a reset, after which it may
// have run.
TEST(BackendConnectionPool, UsesNoConnectionThatHasBeenIdleForTooLong) {
  constexpr double kIdleS = 0.5;
  ManualListener backend;
  PoolFixture p(0, kIdleS);
  p.pool.Update(1, LoopbackEndpoint(backend.port()));
  p.Send(1, "one");
  p.RunUntil([&] { return backend.HasPending(); });
  auto first = backend.Accept();
  first->Write(OkResponse("one"));
  p.RunUntil([&] { return p.ends.size() == 1; });
  std::this_thread::sleep_for(Seconds(kIdleS));  // the loop does not turn
  p.Send(1, "two");
  p.RunUntil([&] { return backend.HasPending(); });
  EXPECT_TRUE(backend.HasPending()) << "on a new connection";
}

}  // namespace
}  // namespace gateway::net
