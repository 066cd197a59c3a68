// Simulated time: a queue of events whose execution advances the clock.
#ifndef GATEWAY_LAB_EVENT_QUEUE_H_
#define GATEWAY_LAB_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace gateway::lab {

// Runs callbacks in the order of their times, and in the order in which they were scheduled if the times are
// equal. A callback may schedule further events. Not thread-safe.
class EventQueue {
 public:
  explicit EventQueue(double start_s) : now_s_(start_s) {}

  // Returns the simulated time: the time of the running event, or the end of the last RunUntil.
  double now_s() const { return now_s_; }

  // Schedules `callback` for `time_s`, or for the current time if `time_s` has passed.
  void Schedule(double time_s, std::function<void()> callback) {
    events_.push({time_s < now_s_ ? now_s_ : time_s, ++last_sequence_, std::move(callback)});
  }

  // Runs all events up to and including `end_s` and sets the clock to `end_s`.
  void RunUntil(double end_s) {
    while (!events_.empty() && events_.top().time_s <= end_s) {
      // std::priority_queue has no operation that moves an element out. The move is safe because the order
      // does not depend on the callback and pop() follows immediately.
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_s_ = event.time_s;
      event.callback();
    }
    now_s_ = end_s;
  }

 private:
  struct Event {
    double time_s;
    uint64_t sequence;
    std::function<void()> callback;
    // std::priority_queue pops the greatest element, so the earliest event has to be the greatest.
    bool operator<(const Event& other) const {
      return time_s != other.time_s ? time_s > other.time_s : sequence > other.sequence;
    }
  };

  std::priority_queue<Event> events_;
  double now_s_;
  uint64_t last_sequence_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_EVENT_QUEUE_H_
