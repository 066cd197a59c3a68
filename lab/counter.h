// A hollow counter: numbers by name on a few parts, each of which serves calls in turn at a bounded rate.
#ifndef GATEWAY_LAB_COUNTER_H_
#define GATEWAY_LAB_COUNTER_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace gateway::lab {

struct CounterSpec {
  double calls_per_s = 800;  // of all parts together
  int parts = 2;
  double call_s = 0.001;      // a call takes so much beside the way and its turn
  double most_wait_s = 0.06;  // a part whose line is longer turns calls away
  bool silent = false;        // answers nothing and counts nothing
};

class Counter {
 public:
  explicit Counter(const CounterSpec& spec) : spec_(spec), free_at_(static_cast<size_t>(spec.parts), 0) {}

  struct Answer {
    double at_s = 0;  // when it leaves the counter; below 0: never
    bool busy = false;
    double total = 0;
  };
  // A call that reaches the counter at `now_s`. A new name lives for `life_s`.
  Answer Call(double now_s, uint64_t name, double amount, double life_s);

  void set_silent(bool silent) { spec_.silent = silent; }
  uint64_t calls() const { return calls_; }
  uint64_t busy() const { return busy_; }

 private:
  struct Number {
    double total = 0, until = 0;
  };
  CounterSpec spec_;
  std::vector<double> free_at_;
  std::unordered_map<uint64_t, Number> numbers_;
  uint64_t calls_ = 0, busy_ = 0;
  double swept_at_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_COUNTER_H_
