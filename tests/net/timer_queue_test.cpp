#include "net/timer_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <vector>

#include "support/event_loop.h"

namespace gateway::net {
namespace {

using namespace test_support;

struct RecordingHandler : TimerQueue::Handler {
  void OnTimersDue() override {}
  void OnRequestDeadline(uint32_t request_id) override { deadlines.push_back(request_id); }
  void OnPolicyTimer(uint64_t tag) override { policy_timers.push_back(tag); }
  bool IsAwaitingDeadline(uint32_t request_id) override { return open_requests.count(request_id) != 0; }
  void OnTimersHandled() override {}
  std::set<uint32_t> open_requests;
  std::vector<uint32_t> deadlines;
  std::vector<uint64_t> policy_timers;
};

// A client sends requests at full speed that are answered at once (picture (b) of "What the review found").
// The queue kept their deadlines for as long as the longest request may take.
TEST(TimerQueue, DropsTheDeadlinesOfAnsweredRequests) {
  constexpr uint32_t kRequests = 100000;
  EventLoop loop;
  RecordingHandler handler;
  TimerQueue timers(loop.io, &handler);
  for (uint32_t id = 1; id <= kRequests; ++id) {
    timers.AddRequestDeadline(Clock::now() + Seconds(kWaitTimeoutS), id);
    EXPECT_LE(timers.size(), TimerQueue::kMinSizeToCompact);
  }
}

// The deadlines of open requests, and the policy's timers, fire in their order however often the queue was
// searched for others.
TEST(TimerQueue, KeepsAllTimersThatMatter) {
  constexpr uint32_t kRequests = 20000;
  constexpr uint32_t kOpenEach = 10;
  EventLoop loop;
  RecordingHandler handler;
  TimerQueue timers(loop.io, &handler);
  auto start = Clock::now();
  for (uint32_t id = 1; id <= kRequests; ++id) {
    Clock::time_point due = start - Seconds(1) + Seconds(1e-6 * (id % 1000));
    if (id % kOpenEach == 0) handler.open_requests.insert(id);
    timers.AddRequestDeadline(due, id);
    if (id % kOpenEach == 1) timers.AddPolicyTimer(due, id);
  }
  EXPECT_LT(timers.size(), kRequests / 2);
  loop.RunUntil([&] { return timers.size() == 0; });
  std::set<uint32_t> handled(handler.deadlines.begin(), handler.deadlines.end());
  EXPECT_TRUE(std::includes(handled.begin(), handled.end(), handler.open_requests.begin(),
                            handler.open_requests.end()));
  EXPECT_EQ(handler.policy_timers.size(), kRequests / kOpenEach);
  EXPECT_TRUE(std::is_sorted(handler.deadlines.begin(), handler.deadlines.end(),
                             [](uint32_t a, uint32_t b) { return a % 1000 < b % 1000; }));
}

}  // namespace
}  // namespace gateway::net
