#include "net/event_loop_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/process_times.h"

namespace gateway::net {
namespace {

constexpr auto kMinStall = std::chrono::milliseconds(10);  // longer than the delays on a busy core
// The operators' documents count a gateway as stalled from this duration on (STANDING).
constexpr auto kMinLoggedStall = std::chrono::milliseconds(150);
constexpr auto kLogInterval = std::chrono::seconds(1);

}  // namespace

Clock::duration EventLoopMonitor::TakeStall(Clock::time_point now) {
  Clock::time_point last_call_at = std::exchange(last_call_at_, now);
  if (!timers_.next_due()) return {};
  Clock::duration late = now - std::max(*timers_.next_due(), last_call_at);
  if (late < kMinStall) return {};
  LogIfLate(late, now);
  return now - last_call_at;
}

// A process that was stalled reads requests late and measures their time only from then on. The log line
// tells operators that a response may have been late or missing because of a stall, and not because of a
// decision of the gateway.
void EventLoopMonitor::LogIfLate(Clock::duration late, Clock::time_point now) {
  if (late < kMinLoggedStall || now < next_log_line_at_) return;
  next_log_line_at_ = now + kLogInterval;
  log_.Write("event_loop_late late_s=" + FormatSeconds(late) + " " + FormatProcessTimes());
}

}  // namespace gateway::net
