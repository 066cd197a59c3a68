#include "net/event_loop_monitor.h"

#include <gtest/gtest.h>

#include <string>
#include <thread>

#include "support/event_loop.h"
#include "support/recording_log.h"

namespace gateway::net {
namespace {

using namespace test_support;

struct NoHandler : TimerQueue::Handler {
  void OnTimersDue() override {}
  void OnRequestDeadline(uint32_t /*request_id*/) override {}
  void OnPolicyTimer(uint64_t /*tag*/) override {}
  void OnTimersHandled() override {}
};

struct MonitorFixture : EventLoop {
  RecordingLog log;
  NoHandler handler;
  TimerQueue timers{io, &handler};
  EventLoopMonitor monitor{&timers, &log};
};

// While answers are awaited a stall is found, and found once: whatever is read next is in time again.
TEST(EventLoopMonitor, FindsAStallOnce) {
  MonitorFixture fixture;
  Clock::time_point start = Clock::now();
  fixture.monitor.TakeStall(start);
  fixture.monitor.WakeUpSoon(start);
  EXPECT_EQ(fixture.monitor.TakeStall(start + EventLoopMonitor::kWakeUpInterval), Clock::duration::zero());
  Clock::time_point late = start + Seconds(0.5);
  EXPECT_GE(fixture.monitor.TakeStall(late), Seconds(0.4));
  EXPECT_EQ(fixture.monitor.TakeStall(late + Seconds(0.001)), Clock::duration::zero());
  EXPECT_EQ(fixture.log.str().rfind("event_loop_late late_s=0.", 0), 0U) << fixture.log.str();
}

// A gateway that has nothing to wait for may wait for any time.
TEST(EventLoopMonitor, FindsNoStallWhereNoTimerIsDue) {
  MonitorFixture fixture;
  Clock::time_point start = Clock::now();
  fixture.monitor.TakeStall(start);
  EXPECT_EQ(fixture.monitor.TakeStall(start + Seconds(10)), Clock::duration::zero());
  EXPECT_EQ(fixture.log.str(), "");
}

// The event loop turns in time while answers are awaited for longer than the interval.
TEST(EventLoopMonitor, WakesUpWithinItsInterval) {
  MonitorFixture fixture;
  Clock::time_point start = Clock::now();
  fixture.monitor.WakeUpSoon(start);
  fixture.timers.AddRequestDeadline(start + Seconds(kWaitTimeoutS), 1);
  fixture.RunUntil([&] { return fixture.timers.next_due() == start + Seconds(kWaitTimeoutS); });
  EXPECT_GE(Clock::now(), start + EventLoopMonitor::kWakeUpInterval);
}

}  // namespace
}  // namespace gateway::net
