#include "net/event_loop_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/process_times.h"

namespace gateway::net {
namespace {

constexpr auto kMinStall = std::chrono::milliseconds(10);  // above a busy core's delays
// The pages' measure of a gateway that is held up (STANDING).
constexpr auto kMinLoggedStall = std::chrono::milliseconds(150);
constexpr auto kLineInterval = std::chrono::seconds(1);

}  // namespace

Clock::duration EventLoopMonitor::TakeStall(Clock::time_point now) {
  Clock::time_point last_call_at = std::exchange(last_call_at_, now);
  if (!timers_.next_due()) return {};
  Clock::duration late = now - std::max(*timers_.next_due(), last_call_at);
  if (late < kMinStall) return {};
  LogIfLate(late, now);
  return now - last_call_at;
}

// A process that stood still reads requests late and counts their time from then: at night, the sign that an
// answer came late, or never, through no rule of the gateway.
void EventLoopMonitor::LogIfLate(Clock::duration late, Clock::time_point now) {
  if (late < kMinLoggedStall || now < next_line_at_) return;
  next_line_at_ = now + kLineInterval;
  log_.Write("event_loop_late late_s=" + FormatSeconds(late) + " " + FormatProcessTimes());
}

}  // namespace gateway::net
