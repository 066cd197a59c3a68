// Detects stalls: times during which the event loop could not run.
#ifndef GATEWAY_NET_EVENT_LOOP_MONITOR_H_
#define GATEWAY_NET_EVENT_LOOP_MONITOR_H_

#include "net/clock.h"
#include "net/log.h"
#include "net/timer_queue.h"

namespace gateway::net {

// The process was stalled (stopped, swapped out or without a core) if the event loop runs later than its next
// timer was due. While responses are awaited, a timer is always due within kWakeUpInterval, so that no longer
// stall goes unnoticed.
class EventLoopMonitor {
 public:
  static constexpr auto kWakeUpInterval = std::chrono::milliseconds(50);

  // `timers` and `log` must outlive the monitor.
  EventLoopMonitor(TimerQueue* timers, Log* log) : timers_(*timers), log_(*log) {}

  // Must be called before an event is handled, with the current time. Returns the longest stall that the
  // process can have had until now: the time since the last call, or zero if the event loop was not late.
  Clock::duration TakeStall(Clock::time_point now);

  // Ensures that a timer is due within kWakeUpInterval. To be called while responses are awaited.
  void WakeUpSoon(Clock::time_point now) { timers_.EnsureWakeUpBy(now + kWakeUpInterval); }

 private:
  void LogIfLate(Clock::duration late, Clock::time_point now);

  TimerQueue& timers_;
  Log& log_;
  Clock::time_point last_call_at_ = Clock::now();
  Clock::time_point next_log_line_at_{};
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_EVENT_LOOP_MONITOR_H_
