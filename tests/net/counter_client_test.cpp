// Tests the counter client against a stub counter, in an event loop that the test runs.
#include "net/counter_client.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/gateway_fixture.h"
#include "support/manual_listener.h"
#include "support/ready_sockets.h"

namespace gateway::net {
namespace {

using namespace test_support;

// A client and the replies that it has reported. Its event loop only runs within RunUntil().
struct ClientUnderTest {
  ClientUnderTest(int port, double timeout_s)
      : client(io, {boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)}, timeout_s, 5,
               [this](policy::CounterReply reply) { replies.push_back(reply); }) {}
  void RunUntil(const std::function<bool()>& done) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
    while (!done() && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(50));
    EXPECT_TRUE(done());
  }
  boost::asio::io_context io;
  std::vector<policy::CounterReply> replies;
  net::CounterClient client;
};

// A reply arrives after the timeout of its call, while further calls are in flight on the connection. If it
// were taken for the reply to the next call, that call would get a wrong total, and so would every later one.
TEST(CounterClient, MatchesLateRepliesToTheirOwnCalls) {
  Event released;
  StubCounter counter([&](const std::string&, double amount) {
    if (amount == 1) released.Wait();
    return BulkString(std::to_string(amount));
  });
  ClientUnderTest test(counter.port(), 0.5);
  test.client.Call(11, 1, 5);
  test.RunUntil([&] { return test.replies.size() == 1; });
  EXPECT_EQ(test.replies[0].result, policy::CallResult::kTimeout) << "the amount may have been added";
  released.Add();
  for (int i = 0; i < 20; ++i) {
    test.client.Call(20 + i, 2 + i, 5);
    test.RunUntil([&] { return test.replies.size() == 2 + static_cast<size_t>(i); });
    if (test.replies.back().result != policy::CallResult::kOk) continue;
    EXPECT_EQ(test.replies.back().key, 20u + i);
    EXPECT_EQ(test.replies.back().total, 2.0 + i);
  }
}

// The address of the counter changes while a call is in flight. That call must still get the reply of the
// previous counter, because its amount is counted there. New calls must go to the new address immediately.
TEST(CounterClient, SwitchesAddressAndCompletesCallsInFlight) {
  Event released;
  StubCounter previous([&](const std::string&, double) { return released.Wait(), BulkString("7"); });
  StubCounter next([](const std::string&, double) { return BulkString("9"); });
  ClientUnderTest test(previous.port(), 30);
  test.client.Call(1, 1, 5);
  test.RunUntil([&] { return previous.calls.count() == 1; });
  test.client.SwitchTo({boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(next.port())});
  test.client.Call(2, 1, 5);
  test.RunUntil([&] { return test.replies.size() == 1; });
  EXPECT_EQ(test.replies[0].key, 2u);
  EXPECT_EQ(test.replies[0].total, 9);
  released.Add();
  test.RunUntil([&] { return test.replies.size() == 2; });
  EXPECT_EQ(test.replies[1].key, 1u);
  EXPECT_EQ(test.replies[1].total, 7);
}

// Calls fail in three ways: they are rejected, no connection can be established, or the connection ends after
// they have been written. Only in the last case may the amount have been added. If the cases were confused,
// an amount would be counted twice or not at all.
TEST(CounterClient, DistinguishesAmountsNotAddedFromAmountsPossiblyAdded) {
  StubCounter busy_counter([](const std::string&, double) { return std::string("-BUSY\r\n"); });
  ClientUnderTest rejected(busy_counter.port(), 30);
  rejected.client.Call(1, 1, 5);
  rejected.RunUntil([&] { return rejected.replies.size() == 1; });
  EXPECT_EQ(rejected.replies[0].result, policy::CallResult::kRejected);

  ClientUnderTest unreachable(UnusedPort(), 30);
  for (int i = 0; i < 200; ++i) unreachable.client.Call(i, 1, 5);
  unreachable.RunUntil([&] { return unreachable.replies.size() == 200; });
  for (const auto& reply : unreachable.replies) EXPECT_EQ(reply.result, policy::CallResult::kConnectFailed);

  StubCounter invalid_counter([](const std::string&, double) { return std::string("?\r\n"); });
  ClientUnderTest interrupted(invalid_counter.port(), 30);
  interrupted.client.Call(1, 1, 5);
  interrupted.RunUntil([&] { return interrupted.replies.size() == 1; });
  EXPECT_EQ(interrupted.replies[0].result, policy::CallResult::kTimeout);
}

// The counter sends an invalid reply. The calls in flight on that connection may have been added and end as
// timed out. No other call may be lost, and the next call must be sent immediately on another connection,
// without a backoff.
TEST(CounterClient, CallsAgainImmediatelyAfterAnInvalidReply) {
  std::atomic<int> call_count{0};
  StubCounter counter(
      [&](const std::string&, double) { return call_count++ % 2 == 0 ? "$x\r\n" : BulkString("3"); });
  ClientUnderTest test(counter.port(), 30);
  for (size_t i = 0; i < 40; ++i) {
    test.client.Call(i, 1, 5);
    test.RunUntil([&] { return test.replies.size() == i + 1; });
    EXPECT_EQ(test.replies[i].result, i % 2 == 0 ? policy::CallResult::kTimeout : policy::CallResult::kOk)
        << i;
  }
}

// The counter is silent while 5,000 calls are made. The calls in flight and the connections must stay
// bounded, every call must end, and once the counter answers again, the client must reach it on new
// connections.
TEST(CounterClient, BoundsCallsInFlightAndReconnectsAfterSilence) {
  std::atomic<bool> silent{true};
  StubCounter counter([&](const std::string&, double) { return silent ? std::string() : BulkString("5"); });
  ClientUnderTest test(counter.port(), 0.05);
  for (int i = 0; i < 5000; ++i) test.client.Call(i, 1, 5);
  test.RunUntil([&] { return test.replies.size() == 5000; });
  EXPECT_LE(counter.calls.count(), 32 * 64);
  EXPECT_LE(counter.connections(), 32);
  silent = false;
  uint64_t key = 10000;
  test.RunUntil([&] {
    if (test.replies.back().result == policy::CallResult::kOk) return true;
    test.client.Call(++key, 1, 5);
    size_t reply_count = test.replies.size();
    test.RunUntil([&] { return test.replies.size() > reply_count; });
    return test.replies.back().result == policy::CallResult::kOk;
  });
}

// The event loop stalls for longer than the timeout of a call. Meanwhile the reply is received, but its event
// is queued behind more events than the loop retrieves with one epoll_wait. A call whose reply arrived in
// time must not time out: four consecutive timeouts make a counter count as silent.
TEST(CounterClient, ReadsAReplyThatArrivedBeforeTheTimeout) {
  Event released;
  StubCounter counter([&](const std::string&, double) { return released.Wait(), BulkString("7"); });
  ClientUnderTest test(counter.port(), 0.3);
  ReadySockets ready(test.io);
  test.client.Call(11, 1, 5);
  test.RunUntil([&] { return counter.calls.count() == 1; });
  boost::asio::steady_timer expired(test.io, std::chrono::milliseconds(1));
  expired.async_wait([](boost::system::error_code) {});
  // The event loop stalls: it runs no handler until RunUntil() below.
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  ready.MakeReady();
  released.Add();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  test.RunUntil([&] { return !test.replies.empty(); });
  EXPECT_EQ(test.replies.at(0).result, policy::CallResult::kOk);
}

// A counter that has received one call and has not replied yet.
struct CalledCounterFixture {
  explicit CalledCounterFixture(double timeout_s) : test(listener.port(), timeout_s) {
    test.client.Call(11, 1, 5);
    test.RunUntil([this] { return listener.HasPending(); });
    counter = listener.Accept();
    test.RunUntil([this] { return counter->IsReadable(); });
    counter->Receive();
  }
  ManualListener listener;
  ClientUnderTest test;
  std::unique_ptr<TestConnection> counter;
};

// The timeout of a call is due, and whenever the client looks there are unread bytes of a reply that never
// ends. If they put off the timeout for as long as there are any, a request that waits for the call waits for
// ever.
TEST(CounterClient, TimesOutACallWhoseCounterFillsItsSocketForEver) {
  constexpr int kMaxHandlers = 500;
  CalledCounterFixture fixture(1);
  fixture.counter->Write("$7000\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  for (int i = 0; i < kMaxHandlers && fixture.test.replies.empty(); ++i) {
    fixture.counter->Write("7");
    fixture.test.io.run_one_for(std::chrono::milliseconds(1));
  }
  ASSERT_EQ(fixture.test.replies.size(), 1u);
  EXPECT_EQ(fixture.test.replies[0].result, policy::CallResult::kTimeout);
}

// A counter sends a reply that never ends, a bulk string or the elements of an array, and never stops for
// long. If any byte ended its silence, its connection would stay open for ever, with calls behind that reply.
TEST(CounterClient, ClosesAConnectionWhoseReplyNeverEnds) {
  constexpr int kMaxHandlers = 500;
  const std::vector<std::pair<std::string, std::string>> replies = {{"$7000\r\n", "7"},
                                                                    {"*7000\r\n", ":7\r\n"}};
  for (const auto& [begin, rest] : replies) {
    CalledCounterFixture fixture(0.1);
    fixture.counter->Write(begin);
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    for (int i = 0; i < kMaxHandlers && fixture.counter->IsOpen(); ++i) {
      fixture.counter->Write(rest);
      fixture.test.io.run_one_for(std::chrono::milliseconds(1));
    }
    EXPECT_FALSE(fixture.counter->IsOpen()) << begin;
  }
}

// The event loop stalls for longer than a connection may be silent, and meanwhile the reply arrives. The
// counter was not silent, so that the connection must stay open and serve the next call.
TEST(CounterClient, KeepsAConnectionWhoseReplyArrivedDuringAStall) {
  CalledCounterFixture fixture(0.1);
  fixture.counter->Write(BulkString("7"));
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  fixture.test.RunUntil([&] { return !fixture.test.replies.empty(); });
  EXPECT_EQ(fixture.test.replies[0].result, policy::CallResult::kOk);
  fixture.test.client.Call(12, 1, 5);
  fixture.counter->Write(BulkString("8"));
  fixture.test.RunUntil([&] { return fixture.test.replies.size() == 2; });
  EXPECT_EQ(fixture.test.replies[1].total, 8);
}

}  // namespace
}  // namespace gateway::net
