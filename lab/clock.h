// Simulated time: events in the order of their times, and of their making where these are equal.
#ifndef GATEWAY_LAB_CLOCK_H_
#define GATEWAY_LAB_CLOCK_H_

#include <time.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace gateway::lab {

// s of processor time that this thread has used, which other work on the machine does not add to.
inline double ProcessorSeconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

class EventQueue {
 public:
  explicit EventQueue(double start_s) : now_(start_s) {}
  double now() const { return now_; }
  void At(double when_s, std::function<void()> run) {
    events_.push({when_s < now_ ? now_ : when_s, ++last_, std::move(run)});
  }
  // Runs all events up to `end_s`.
  void RunUntil(double end_s) {
    while (!events_.empty() && events_.top().when <= end_s) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      now_ = event.when;
      event.run();
    }
    now_ = end_s;
  }

 private:
  struct Event {
    double when;
    uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : order > other.order;
    }
  };
  std::priority_queue<Event> events_;
  double now_;
  uint64_t last_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CLOCK_H_
