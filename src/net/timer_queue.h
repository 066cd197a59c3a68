// The gateway's timers: request deadlines and the policy's own, on one timer of the event loop.
#ifndef GATEWAY_NET_TIMER_QUEUE_H_
#define GATEWAY_NET_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <vector>

#include "net/clock.h"
#include "net/socket_util.h"

namespace gateway::net {

// A timer cannot be cancelled: whoever handles it finds out that its subject is gone.
class TimerQueue {
 public:
  // Called from the event loop only. All callbacks may add timers.
  class Handler {
   public:
    virtual void OnTimersDue() = 0;  // before those of one wake-up are handled
    virtual void OnRequestDeadline(uint32_t request_id) = 0;
    virtual void OnPolicyTimer(uint64_t tag) = 0;
    virtual void OnTimersHandled() = 0;  // after all that were due at one wake-up

   protected:
    ~Handler() = default;
  };

  // `handler` outlives the queue.
  TimerQueue(asio::io_context& io, Handler* handler) : handler_(handler), timer_(io) {}

  void AddRequestDeadline(Clock::time_point due, uint32_t request_id);
  void AddPolicyTimer(Clock::time_point due, uint64_t tag);
  // Wakes up the event loop by then, if no timer is due earlier.
  void EnsureWakeUpBy(Clock::time_point due);

  // When the next timer is due; none while those that were due are being handled.
  std::optional<Clock::time_point> next_due() const { return armed_for_; }

 private:
  enum class Kind { kRequestDeadline, kPolicyTimer, kWakeUp };
  struct Entry {
    Clock::time_point due;
    Kind kind;
    uint64_t tag;
    bool operator>(const Entry& other) const { return due > other.due; }
  };

  void Add(const Entry& entry);
  void Arm();
  void RunDue();

  Handler* const handler_;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> entries_;  // the next due on top
  asio::steady_timer timer_;
  std::optional<Clock::time_point> armed_for_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_TIMER_QUEUE_H_
