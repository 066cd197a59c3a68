// Simulated time: a queue of events on a clock that only they move.
#ifndef GATEWAY_LAB_EVENT_QUEUE_H_
#define GATEWAY_LAB_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace gateway::lab {

// Runs callbacks in the order of their times, and of their scheduling where the times are equal. Not
// thread-safe. A callback may schedule further events.
class EventQueue {
 public:
  explicit EventQueue(double start_s) : now_s_(start_s) {}

  // The simulated clock: the time of the event that runs, or the end of the last RunUntil.
  double now_s() const { return now_s_; }

  // Runs `callback` at `time_s`, or as soon as possible where that has passed.
  void Schedule(double time_s, std::function<void()> callback) {
    events_.push({time_s < now_s_ ? now_s_ : time_s, ++last_sequence_, std::move(callback)});
  }

  // Runs all events up to and including `end_s`, and leaves the clock there.
  void RunUntil(double end_s) {
    while (!events_.empty() && events_.top().time_s <= end_s) {
      // std::priority_queue gives no access for a move. The moved-from callback takes no part in the order,
      // and pop() follows at once.
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
    // std::priority_queue pops the greatest: the earliest event.
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
