// Finds out for how long the process stood still.
#ifndef GATEWAY_NET_EVENT_LOOP_MONITOR_H_
#define GATEWAY_NET_EVENT_LOOP_MONITOR_H_

#include "net/clock.h"
#include "net/log.h"
#include "net/timer_queue.h"

namespace gateway::net {

// The process has stood still (stopped, swapped out, or without its core) where the event loop runs later
// than its next timer was due. While somebody waits for what is to be read, a timer is due within
// kWakeUpInterval, so that no stall that is longer goes unnoticed.
class EventLoopMonitor {
 public:
  static constexpr auto kWakeUpInterval = std::chrono::milliseconds(50);

  // Both outlive the monitor.
  EventLoopMonitor(TimerQueue* timers, Log* log) : timers_(*timers), log_(*log) {}

  // To be called at `now`, before an event is handled. Returns for how long the process may have stood still
  // up to now: the time since the last call, or zero where the event loop was in time.
  Clock::duration TakeStall(Clock::time_point now);

  // Answers are awaited.
  void WakeUpSoon(Clock::time_point now) { timers_.EnsureWakeUpBy(now + kWakeUpInterval); }

 private:
  void LogIfLate(Clock::duration late, Clock::time_point now);

  TimerQueue& timers_;
  Log& log_;
  Clock::time_point last_call_at_ = Clock::now();
  Clock::time_point next_line_at_{};
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_EVENT_LOOP_MONITOR_H_
