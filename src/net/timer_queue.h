// The timers of the gateway: request deadlines and policy timers, multiplexed on one timer of the event loop.
#ifndef GATEWAY_NET_TIMER_QUEUE_H_
#define GATEWAY_NET_TIMER_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "net/clock.h"
#include "net/socket_util.h"

namespace gateway::net {

// Timers cannot be cancelled. The handler must check whether the object of a timer still exists. The
// deadlines of requests that have been answered are dropped whenever the queue has doubled in size, since a
// client whose requests are answered at once could fill it with them.
class TimerQueue {
 public:
  // Called only from the event loop. All callbacks may add timers.
  class Handler {
   public:
    virtual void OnTimersDue() = 0;  // called before the timers of one wake-up are handled
    virtual void OnRequestDeadline(uint32_t request_id) = 0;
    virtual void OnPolicyTimer(uint64_t tag) = 0;
    // Whether the deadline of the request still matters.
    virtual bool IsAwaitingDeadline(uint32_t request_id) = 0;
    virtual void OnTimersHandled() = 0;  // called after the timers of one wake-up have been handled

   protected:
    ~Handler() = default;
  };

  // `handler` must outlive the queue.
  TimerQueue(asio::io_context& io, Handler* handler) : handler_(handler), timer_(io) {}

  void AddRequestDeadline(Clock::time_point due, uint32_t request_id);
  void AddPolicyTimer(Clock::time_point due, uint64_t tag);
  // Ensures that a timer is due at `due` or earlier.
  void EnsureWakeUpBy(Clock::time_point due);

  // Returns when the next timer is due, or nothing if there is none. While due timers are being handled, only
  // those added meanwhile count.
  std::optional<Clock::time_point> next_due() const { return armed_for_; }

  size_t size() const { return entries_.size(); }

  // The queue is searched for deadlines that no longer matter only if it is larger than this.
  static constexpr size_t kMinSizeToCompact = 1024;

 private:
  enum class Kind { kRequestDeadline, kPolicyTimer, kWakeUp };
  struct Entry {
    Clock::time_point due;
    Kind kind;
    uint64_t tag;  // request id or tag of a policy timer, depending on `kind`
    bool operator>(const Entry& other) const { return due > other.due; }
  };

  void Add(const Entry& entry);
  void Compact();
  Entry PopEarliest();
  void Arm();
  void RunDueTimers();

  Handler* const handler_;
  std::vector<Entry> entries_;  // a heap with the earliest entry in front
  size_t compact_above_ = kMinSizeToCompact;
  asio::steady_timer timer_;
  std::optional<Clock::time_point> armed_for_;  // when timer_ expires
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_TIMER_QUEUE_H_
