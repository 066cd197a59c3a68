// Clock that does not advance while the gateway's process is stalled.
#ifndef GATEWAY_POLICY_RUNNING_CLOCK_H_
#define GATEWAY_POLICY_RUNNING_CLOCK_H_

namespace gateway::policy {

// Measures time without the stalls of the process, during which it is stopped, swapped out or waiting for a
// CPU core. An event that happens during a stall is noticed late. The true time between two events is
// therefore at most the difference by the caller's clock and at least the difference by this clock.
class RunningClock {
 public:
  // Records that the process was stalled for the last `duration_s`.
  void RecordStall(double duration_s) { stalled_s_ += duration_s; }

  // Returns this clock's time when the caller's clock reads `now_s`.
  double At(double now_s) const { return now_s - stalled_s_; }

 private:
  double stalled_s_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RUNNING_CLOCK_H_
