// The counter client, driven directly by an event loop that the test runs.
#include "net/counter_client.h"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "support/gateway_fixture.h"
#include "support/ready_sockets.h"

namespace gateway::net {
namespace {

using namespace test_support;

// A client and the replies that it has given. Its event loop runs within RunUntil() only.
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

// A reply comes after its call's time-out, when further calls are in flight on the connection. Taken for the
// next call's reply it would give a wrong total, and shift every reply after it.
TEST(CounterClient, MatchesLateRepliesToTheirOwnCalls) {
  Event released;
  StubCounter counter([&](const std::string&, double amount) {
    if (amount == 1) released.Wait();
    return BulkString(std::to_string(amount));
  });
  ClientUnderTest test(counter.port(), 0.5);
  test.client.Call(11, 1, 5);
  test.RunUntil([&] { return test.replies.size() == 1; });
  EXPECT_EQ(test.replies[0].result, policy::CallResult::kTimeout) << "it may have been added";
  released.Add();
  for (int i = 0; i < 20; ++i) {
    test.client.Call(20 + i, 2 + i, 5);
    test.RunUntil([&] { return test.replies.size() == 2 + static_cast<size_t>(i); });
    if (test.replies.back().result != policy::CallResult::kOk) continue;
    EXPECT_EQ(test.replies.back().key, 20u + i);
    EXPECT_EQ(test.replies.back().total, 2.0 + i);
  }
}

// The counter's address changes while a call is in flight. That call still ends by what the old counter says,
// and new calls go to the new address at once.
TEST(CounterClient, SwitchesAddressAndEndsCallsInFlight) {
  Event released;
  StubCounter before([&](const std::string&, double) { return released.Wait(), BulkString("7"); });
  StubCounter after([](const std::string&, double) { return BulkString("9"); });
  ClientUnderTest test(before.port(), 30);
  test.client.Call(1, 1, 5);
  test.RunUntil([&] { return before.calls.count() == 1; });
  test.client.SwitchTo({boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(after.port())});
  test.client.Call(2, 1, 5);
  test.RunUntil([&] { return test.replies.size() == 1; });
  EXPECT_EQ(test.replies[0].key, 2u);
  EXPECT_EQ(test.replies[0].total, 9);
  released.Add();
  test.RunUntil([&] { return test.replies.size() == 2; });
  EXPECT_EQ(test.replies[1].key, 1u);
  EXPECT_EQ(test.replies[1].total, 7);
}

// Calls fail in three ways: rejected, never connected, and with a connection that ends after they were
// written. Only the last may have been added; confused, an amount would be counted twice or never.
TEST(CounterClient, DistinguishesNotAddedFromMaybeAdded) {
  StubCounter busy([](const std::string&, double) { return std::string("-BUSY\r\n"); });
  ClientUnderTest rejected(busy.port(), 30);
  rejected.client.Call(1, 1, 5);
  rejected.RunUntil([&] { return rejected.replies.size() == 1; });
  EXPECT_EQ(rejected.replies[0].result, policy::CallResult::kRejected);

  ClientUnderTest refused(UnusedPort(), 30);
  for (int i = 0; i < 200; ++i) refused.client.Call(i, 1, 5);
  refused.RunUntil([&] { return refused.replies.size() == 200; });
  for (const auto& reply : refused.replies) EXPECT_EQ(reply.result, policy::CallResult::kConnectFailed);

  StubCounter broken([](const std::string&, double) { return std::string("?\r\n"); });
  ClientUnderTest broke(broken.port(), 30);
  broke.client.Call(1, 1, 5);
  broke.RunUntil([&] { return broke.replies.size() == 1; });
  EXPECT_EQ(broke.replies[0].result, policy::CallResult::kTimeout);
}

// A reply cannot be read. What was in flight on its connection may have been added and times out; nothing
// else is lost, and the next call goes out at once on another connection, without a backoff.
TEST(CounterClient, CallsAgainAtOnceAfterAnInvalidReply) {
  std::atomic<int> seen{0};
  StubCounter counter(
      [&](const std::string&, double) { return seen++ % 2 == 0 ? "$x\r\n" : BulkString("3"); });
  ClientUnderTest test(counter.port(), 30);
  for (size_t i = 0; i < 40; ++i) {
    test.client.Call(i, 1, 5);
    test.RunUntil([&] { return test.replies.size() == i + 1; });
    EXPECT_EQ(test.replies[i].result, i % 2 == 0 ? policy::CallResult::kTimeout : policy::CallResult::kOk)
        << i;
  }
}

// The counter falls silent under 5,000 calls. Calls and connections stay bounded, every call ends, and when
// the counter is back the client reaches it on new connections.
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
    size_t before = test.replies.size();
    test.RunUntil([&] { return test.replies.size() > before; });
    return test.replies.back().result == policy::CallResult::kOk;
  });
}

// The process is held up past a call's time-out, with its reply in the socket behind more events than the
// event loop takes from the system at once. A reply that came in time must not end as a time-out: four of
// them in a row make a counter count as silent.
TEST(CounterClient, ReadsAReplyThatCameBeforeTheTimeout) {
  Event released;
  StubCounter counter([&](const std::string&, double) { return released.Wait(), BulkString("7"); });
  ClientUnderTest test(counter.port(), 0.3);
  ReadySockets ready(test.io);
  test.client.Call(11, 1, 5);
  test.RunUntil([&] { return counter.calls.count() == 1; });
  boost::asio::steady_timer earlier(test.io, std::chrono::milliseconds(1));
  earlier.async_wait([](boost::system::error_code) {});
  // The hold: the loop does not turn.
  std::this_thread::sleep_for(std::chrono::milliseconds(10));
  ready.MakeReady();
  released.Add();
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  test.RunUntil([&] { return !test.replies.empty(); });
  EXPECT_EQ(test.replies.at(0).result, policy::CallResult::kOk);
}

}  // namespace
}  // namespace gateway::net
