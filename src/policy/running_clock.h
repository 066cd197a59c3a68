// The time for which this gateway's process has run.
#ifndef GATEWAY_POLICY_RUNNING_CLOCK_H_
#define GATEWAY_POLICY_RUNNING_CLOCK_H_

namespace gateway::policy {

// A clock that stands still with the process: stopped, swapped out, or without its core. What ended meanwhile
// is read late, so that the time between two events has two bounds: by the caller's clock at most, by this
// one at least.
class RunningClock {
 public:
  // The process stood still for so long, up to now.
  void RecordStall(double duration_s) { stalled_s_ += duration_s; }

  // This clock's time when the caller's is `now_s`.
  double At(double now_s) const { return now_s - stalled_s_; }

 private:
  double stalled_s_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_RUNNING_CLOCK_H_
