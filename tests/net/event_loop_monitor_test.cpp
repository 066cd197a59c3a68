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
  bool IsAwaitingDeadline(uint32_t /*request_id*/) override { return true; }
  void OnTimersHandled() override {}
};

struct MonitorFixture : EventLoop {
  RecordingLog log;
  NoHandler handler;
  TimerQueue timers{io, &handler};
  EventLoopMonitor monitor{&timers, &log};
};

// While responses are awaited, a stall has to be detected, and only once: if it were reported again,
// responses read after it would also be taken for delayed ones.
TEST(EventLoopMonitor, DetectsAStallOnce) {
  MonitorFixture fixture;
  Clock::time_point started_at = Clock::now();
  fixture.monitor.TakeStall(started_at);
  fixture.monitor.WakeUpSoon(started_at);
  EXPECT_EQ(fixture.monitor.TakeStall(started_at + EventLoopMonitor::kWakeUpInterval),
            Clock::duration::zero());
  Clock::time_point stall_ended_at = started_at + Seconds(0.5);
  EXPECT_GE(fixture.monitor.TakeStall(stall_ended_at), Seconds(0.4));
  EXPECT_EQ(fixture.monitor.TakeStall(stall_ended_at + Seconds(0.001)), Clock::duration::zero());
  EXPECT_EQ(fixture.log.str().rfind("event_loop_late late_s=0.", 0), 0U) << fixture.log.str();
}

// Guards against false reports: if no timer is due, the event loop may block for any time without being late.
TEST(EventLoopMonitor, DetectsNoStallWhenNoTimerIsDue) {
  MonitorFixture fixture;
  Clock::time_point started_at = Clock::now();
  fixture.monitor.TakeStall(started_at);
  EXPECT_EQ(fixture.monitor.TakeStall(started_at + Seconds(10)), Clock::duration::zero());
  EXPECT_EQ(fixture.log.str(), "");
}

// While responses are awaited, the event loop has to wake up after the interval although no other timer is
// due. Otherwise a stall in that time would go undetected.
TEST(EventLoopMonitor, WakesUpAfterItsInterval) {
  MonitorFixture fixture;
  Clock::time_point started_at = Clock::now();
  fixture.monitor.WakeUpSoon(started_at);
  fixture.timers.AddRequestDeadline(started_at + Seconds(kWaitTimeoutS), 1);
  fixture.RunUntil([&] { return fixture.timers.next_due() == started_at + Seconds(kWaitTimeoutS); });
  EXPECT_GE(Clock::now(), started_at + EventLoopMonitor::kWakeUpInterval);
}

}  // namespace
}  // namespace gateway::net
