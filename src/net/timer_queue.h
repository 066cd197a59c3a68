// The gateway's timers: request deadlines and the policy's own, on one timer of the event loop.
#ifndef GATEWAY_NET_TIMER_QUEUE_H_
#define GATEWAY_NET_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "net/clock.h"
#include "net/log.h"
#include "net/socket_util.h"

namespace gateway::net {

// A timer cannot be cancelled: whoever handles it finds out that its subject is gone.
class TimerQueue {
 public:
  // Called from the event loop only. Both timer callbacks may add timers.
  class Handler {
   public:
    virtual void OnRequestDeadline(uint32_t request_id) = 0;
    virtual void OnPolicyTimer(uint64_t tag) = 0;
    virtual void OnTimersHandled() = 0;  // after all that were due at one wake-up

   protected:
    ~Handler() = default;
  };

  // `handler` and `log` outlive the queue.
  TimerQueue(asio::io_context& io, Handler* handler, Log* log) : handler_(handler), log_(*log), timer_(io) {}

  void AddRequestDeadline(Clock::time_point due, uint32_t request_id);
  void AddPolicyTimer(Clock::time_point due, uint64_t tag);

 private:
  enum class Kind { kRequestDeadline, kPolicyTimer };
  struct Entry {
    Clock::time_point due;
    Kind kind;
    uint64_t tag;
    bool operator>(const Entry& other) const { return due > other.due; }
  };

  void Add(const Entry& entry);
  void Arm();
  void RunDue();
  void LogIfLate(Clock::time_point now);

  Handler* const handler_;
  Log& log_;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;  // the next due on top
  asio::steady_timer timer_;
  std::optional<Clock::time_point> armed_for_;
  Clock::time_point next_late_line_at_{};
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_TIMER_QUEUE_H_
