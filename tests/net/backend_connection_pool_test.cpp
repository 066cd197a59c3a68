#include "net/backend_connection_pool.h"

#include <poll.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "support/http_message.h"
#include "support/manual_listener.h"
#include "support/pool_fixture.h"
#include "support/ready_sockets.h"
#include "support/stub_server.h"
#include "support/test_connection.h"

namespace gateway::net {
namespace {

using namespace test_support;
using policy::CallResult;

// An attempt is cancelled just after its last bytes have been written, while the completion handler of the
// write is still queued. A pool that relied on the handler would report the request as not sent, and a retry
// would run it a second time. The request is far larger than both sockets' buffers, so that its last bytes
// are written late.
TEST(BackendConnectionPool, CancelReportsACompletelyWrittenRequestBeforeTheWriteHandlerRuns) {
  std::string request(24 << 20, 'b');
  ManualListener backend;
  PoolFixture fixture;
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
  uint64_t attempt = fixture.Send(1, request);
  fixture.RunUntil([&] { return backend.HasPending(); });
  auto connection = backend.Accept();
  size_t received_bytes = 0;
  bool complete = false;
  CancelResult cancelled = CancelResult::kAlreadyEnded;
  auto deadline = Clock::now() + std::chrono::seconds(kWaitTimeoutS);
  pollfd ready{connection->fd(), POLLIN, 0};
  while (!complete && Clock::now() < deadline) {
    // All available bytes are read before the event loop runs its next handler, so that this handler may
    // write the rest of the request.
    while (poll(&ready, 1, 5) > 0 && connection->Receive()) {
      received_bytes += connection->unread.size();
      connection->unread.clear();
    }
    complete = received_bytes == request.size();
    if (complete) {
      cancelled = fixture.pool.Cancel(attempt);
    } else {
      fixture.io.restart();
      fixture.io.poll_one();
    }
  }
  EXPECT_EQ(received_bytes, request.size());
  EXPECT_EQ(cancelled, CancelResult::kMayHaveRun) << "the backend has received the complete request";
}

// Cancels an attempt whose connection is not established yet. Returns the backend's side of that connection.
std::unique_ptr<TestConnection> CancelWhileConnecting(PoolFixture& fixture, ManualListener& backend) {
  uint64_t attempt = fixture.Send(1, "unsent");
  EXPECT_TRUE(fixture.pool.CancelIfUnsent(attempt));
  EXPECT_FALSE(fixture.pool.CancelIfUnsent(attempt));
  return backend.Accept();
}

void ExpectWrittenAttemptContinues(PoolFixture& fixture, ManualListener& backend) {
  uint64_t attempt = fixture.Send(1, "complete");
  auto connection = backend.Accept();
  fixture.AwaitReadable(*connection);
  EXPECT_FALSE(fixture.pool.CancelIfUnsent(attempt)) << "the backend has received the complete request";
  connection->Write(OkResponse("x"));
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  EXPECT_EQ(fixture.results[0].result, CallResult::kOk);
}

// The client of a request has disconnected. An attempt whose connection is not established, or whose request
// is only partly written, has not run. It is cancelled, and no further byte of it may reach the backend. An
// attempt whose request is completely written may have run, so it must continue until its response.
TEST(BackendConnectionPool, CancelIfUnsentCancelsOnlyIncompletelyWrittenRequests) {
  std::string request(24 << 20, 'b');
  ManualListener backend;
  PoolFixture fixture;
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
  auto first = CancelWhileConnecting(fixture, backend);
  uint64_t partial = fixture.Send(1, request);
  auto second = backend.Accept();
  fixture.AwaitReadable(*second);
  EXPECT_TRUE(fixture.pool.CancelIfUnsent(partial));
  while (first->Receive() || second->Receive()) {
  }
  EXPECT_EQ(first->unread, "");
  EXPECT_GT(second->unread.size(), 0u);
  EXPECT_LT(second->unread.size(), request.size());
  ExpectWrittenAttemptContinues(fixture, backend);
}

// The backend has received the complete request. Then the attempt is cancelled while its response is received
// but unread, or the connection is reset before a response. The request may have run in both cases,
// regardless of which event the pool sees first.
TEST(BackendConnectionPool, ReportsThatAWrittenRequestMayHaveRun) {
  ManualListener backend;
  PoolFixture fixture;
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
  uint64_t attempt = fixture.Send(1, "request");
  fixture.RunUntil([&] { return backend.HasPending(); });
  auto connection = backend.Accept();
  fixture.AwaitReadable(*connection);
  connection->Write(OkResponse("x"));  // unread when the attempt is cancelled
  EXPECT_EQ(fixture.pool.Cancel(attempt), CancelResult::kMayHaveRun);
  attempt = fixture.Send(1, "request");
  fixture.RunUntil([&] { return backend.HasPending(); });
  connection = backend.Accept();
  fixture.AwaitReadable(*connection);
  connection->Reset();
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  EXPECT_EQ(fixture.results[0].result, CallResult::kReset);
}

// A connection is established, but before the pool has seen that, the endpoint list reports that the backend
// has been draining for longer than its grace, is removed, has another address or has restarted. If the
// request were still sent, it would reach a backend that must not receive it. The grace is counted from the
// notification, which may be long before the list was read.
TEST(BackendConnectionPool, SendsNothingIfTheEndpointListChangesWhileConnecting) {
  for (std::string change : {"drained long ago", "drained now", "removed", "moved", "restarted"}) {
    ManualListener backend;
    PoolFixture fixture;
    fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
    fixture.Send(1, "request");
    if (change == "drained long ago") fixture.pool.Drain(1, Clock::now() - std::chrono::seconds(5));
    if (change == "drained now") fixture.pool.Drain(1, Clock::now());
    if (change == "removed") fixture.pool.Remove(1);
    if (change == "moved") fixture.pool.Update(1, LoopbackEndpoint(UnusedPort()));
    if (change == "restarted") fixture.pool.Update(1, LoopbackEndpoint(backend.port()), 5);
    if (change == "drained now") {
      fixture.RunUntil([&] { return backend.HasPending(); });
      auto connection = backend.Accept();
      fixture.RunUntil([&] { return connection->IsReadable() || !fixture.results.empty(); });
      continue;  // the grace may be over on a slow machine, so that both outcomes are correct
    }
    fixture.RunUntil([&] { return fixture.results.size() == 1; });
    EXPECT_EQ(fixture.results[0].result, CallResult::kConnectFailed) << change;
    EXPECT_EQ(backend.ReceiveAll(), "") << change;
  }
}

// A faulty backend sends its response twice, some milliseconds apart. On a connection that is reused
// immediately, the second one would be taken for the response to the next request, possibly of another
// client. The next request must be sent on another connection instead.
TEST(BackendConnectionPool, DoesNotReuseAConnectionImmediatelyAfterItsResponse) {
  ManualListener backend;
  PoolFixture fixture(1000);
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
  fixture.Send(1, "one");
  fixture.RunUntil([&] { return backend.HasPending(); });
  auto first = backend.Accept();
  first->Write(OkResponse("one"));
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  fixture.Send(1, "two");
  first->Write(OkResponse("one again"));
  fixture.RunUntil([&] { return backend.HasPending(); });
  ASSERT_TRUE(backend.HasPending());
  auto second = backend.Accept();
  second->Write(OkResponse("two"));
  fixture.RunUntil([&] { return fixture.results.size() == 2; });
  EXPECT_EQ(fixture.results[1].body, "two");
}

// A connection carries the next request once the minimum idle time after its response has passed. Without
// reuse, three requests would need three connections.
TEST(BackendConnectionPool, ReusesAConnectionAfterTheMinimumIdleTime) {
  ManualListener backend;
  PoolFixture fixture(0);
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
  std::unique_ptr<TestConnection> connection;
  for (size_t i = 1; i <= 3; ++i) {
    fixture.Send(1, "one");
    if (connection == nullptr) {
      fixture.RunUntil([&] { return backend.HasPending(); });
      connection = backend.Accept();
    }
    connection->Write(OkResponse("one"));
    fixture.RunUntil([&] { return fixture.results.size() == i; });
  }
  EXPECT_FALSE(backend.HasPending());
}

// The event loop stalls for longer than the connect timeout. Meanwhile the connection is established, but its
// event is queued behind more events than the loop retrieves with one epoll_wait. If the attempt ended as
// failed, it would count against a healthy backend.
TEST(BackendConnectionPool, UsesAConnectionEstablishedBeforeTheTimeout) {
  constexpr double kConnectTimeoutS = 2;
  ManualListener backend(0);
  auto queued = TestConnection::ConnectTo(backend.port());
  PoolFixture fixture(0, 30, kConnectTimeoutS);
  ReadySockets ready(fixture.io);
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
  fixture.Send(1, "one");
  fixture.io.restart();
  fixture.io.poll();
  asio::steady_timer expired(fixture.io, std::chrono::milliseconds(1));
  expired.async_wait([](error_code) {});
  // The event loop stalls: it runs no handler until RunUntil() below.
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  ready.MakeReady();
  backend.Accept();
  std::this_thread::sleep_for(Seconds(kConnectTimeoutS + 0.2));
  ASSERT_TRUE(backend.HasPending());
  auto connection = backend.Accept();
  connection->Write(OkResponse("one"));
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  EXPECT_EQ(fixture.results[0].result, CallResult::kOk);
}

// The event loop stalls while a connection is idle, until after the time at which the pool would have closed
// it. The backend may close it at any moment too. A request that is sent just as it does so ends with a
// reset, after which it may have run.
TEST(BackendConnectionPool, DoesNotReuseAConnectionPastItsIdleTimeout) {
  constexpr double kIdleS = 0.5;
  ManualListener backend;
  PoolFixture fixture(0, kIdleS);
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
  fixture.Send(1, "one");
  fixture.RunUntil([&] { return backend.HasPending(); });
  auto first = backend.Accept();
  first->Write(OkResponse("one"));
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  std::this_thread::sleep_for(Seconds(kIdleS));  // the event loop stalls
  fixture.Send(1, "two");
  fixture.RunUntil([&] { return backend.HasPending(); });
  EXPECT_TRUE(backend.HasPending()) << "the second request needs a new connection";
}

// A new process comes up under the name and at the address of one whose machine has fallen silent (picture
// (d) of "What the review found"). The connections to the old one stay open. A request that is sent on one of
// them gets no answer, or runs at a process that counts as gone.
TEST(BackendConnectionPool, SendsNothingOnConnectionsOfAnEarlierProcess) {
  constexpr double kStartedAtS = 1000;
  enum class Old { kIdle, kAnswersLate, kAnswersAfterItWasRemoved };
  for (Old old : {Old::kIdle, Old::kAnswersLate, Old::kAnswersAfterItWasRemoved}) {
    ManualListener backend;
    PoolFixture fixture;
    const auto address = LoopbackEndpoint(backend.port());
    fixture.pool.Update(1, address, kStartedAtS);
    fixture.Send(1, "one");
    fixture.RunUntil([&] { return backend.HasPending(); });
    auto old_process = backend.Accept();
    fixture.AwaitReadable(*old_process);
    old_process->Receive();
    auto answer = [&] {
      old_process->Write(OkResponse("one"));
      fixture.RunUntil([&] { return fixture.results.size() == 1; });
      EXPECT_EQ(fixture.results[0].result, CallResult::kOk) << "a request that was written may be answered";
    };
    if (old == Old::kIdle) answer();
    bool removed = old == Old::kAnswersAfterItWasRemoved;
    if (removed) fixture.pool.Remove(1);
    fixture.pool.Update(1, address, removed ? kStartedAtS : kStartedAtS + 1);
    if (old != Old::kIdle) answer();
    fixture.Send(1, "two");
    fixture.RunUntil([&] { return backend.HasPending() || old_process->IsReadable(); });
    ASSERT_TRUE(backend.HasPending()) << "the request went to the old process";
    auto new_process = backend.Accept();
    fixture.AwaitReadable(*new_process);
    EXPECT_TRUE(old_process->AwaitEnd()) << "the old connection got " << old_process->unread;
  }
}

// A request is partly written when its backend is listed with a later start. Its rest must not go to the old
// process, and as it cannot have run, it may go to another backend at once.
TEST(BackendConnectionPool, EndsARequestThatIsPartlyWrittenToAnEarlierProcess) {
  ManualListener backend;
  PoolFixture fixture;
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()));
  constexpr double kTimeoutS = 10 * kWaitTimeoutS;
  fixture.Send(1, std::string(64 << 20, 'r'), kTimeoutS);  // more than socket buffers hold
  fixture.RunUntil([&] { return backend.HasPending(); });
  auto old_process = backend.Accept();
  fixture.AwaitReadable(*old_process);
  fixture.pool.Update(1, LoopbackEndpoint(backend.port()), 5);
  EXPECT_TRUE(fixture.results.empty()) << "no completion runs while a list is applied";
  fixture.RunUntil([&] { return fixture.results.size() == 1; });
  ASSERT_EQ(fixture.results.size(), 1u);
  EXPECT_EQ(fixture.results[0].result, CallResult::kConnectFailed);
}

// The same process is listed again: with its start, with 0 once that is long ago, or by an agent that has an
// older list. Its connections are used on, as each new one costs the backend work.
TEST(BackendConnectionPool, ReusesConnectionsOfAProcessThatIsListedAgain) {
  ManualListener backend;
  PoolFixture fixture;
  const auto address = LoopbackEndpoint(backend.port());
  fixture.pool.Update(1, address, 1000);
  fixture.Send(1, "one");
  fixture.RunUntil([&] { return backend.HasPending(); });
  auto connection = backend.Accept();
  for (double listed_start_s : {1000.0, 0.0, 900.0, 1000.0}) {
    fixture.AwaitReadable(*connection);
    connection->Receive();
    connection->unread.clear();
    connection->Write(OkResponse("x"));
    fixture.RunUntil([&] { return fixture.results.size() == 1; });
    fixture.results.clear();
    fixture.pool.Update(1, address, listed_start_s);
    fixture.Send(1, "more");
  }
  fixture.AwaitReadable(*connection);
  EXPECT_EQ(fixture.pool.connections(), 1u);
}

}  // namespace
}  // namespace gateway::net
