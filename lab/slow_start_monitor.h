// Whether the gateways of a simulated fleet together sent a warming-up backend more than it can bear.
#ifndef GATEWAY_LAB_SLOW_START_MONITOR_H_
#define GATEWAY_LAB_SLOW_START_MONITOR_H_

#include <unordered_map>
#include <vector>

#include "lab/backend_model.h"
#include "lab/fleet_options.h"

namespace gateway::lab {

// The most loaded window of a warming-up backend. Work is counted in requests of mean work. The limit of a
// window in which the overload rule allows N is N + 2 sqrt(N) + 2 (STANDING.md).
struct SlowStartWindow {
  double load_ratio = 0;               // work sent, over the limit
  double notified_load_ratio = 0;      // the part of it sent by gateways that were notified of the restart
  double max_notified_load_ratio = 0;  // the highest such part in any window
  double work_sent = 0;
  double work_allowed = 0;  // N

  // Whether the rule is broken: over the limit, and over two thirds of it by gateways that knew.
  bool ViolatesLimit() const { return load_ratio > 1 && notified_load_ratio > load_ratio * 2 / 3; }
};

// Not thread-safe.
class SlowStartMonitor {
 public:
  // `slow_start_duration_s`: for which a backend is watched after its restart.
  SlowStartMonitor(const OverloadOptions& options, double slow_start_duration_s, double mean_work_s);

  // An attempt that arrives at a restarted backend at `arrival_s`. `notified`: whether its gateway knew of
  // the restart.
  void OnAttempt(int backend, double arrival_s, double work_s, bool notified);

  // Evaluates all windows of the backend since its last restart, and forgets its attempts. Called before it
  // restarts again, and at the end.
  void Evaluate(int backend, const SimulatedBackend& state);

  // Of all evaluated ones.
  const SlowStartWindow& worst_window() const { return worst_window_; }

 private:
  struct SentAttempt {
    double arrival_s = 0;
    double work = 0;  // in requests of mean work
    bool notified = false;
  };

  void EvaluateWindow(double end_s, double work, double notified_work, const SimulatedBackend& state);

  const OverloadOptions options_;
  const double slow_start_duration_s_;
  const double mean_work_s_;
  std::unordered_map<int, std::vector<SentAttempt>> attempts_;  // by backend, since its last restart
  SlowStartWindow worst_window_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SLOW_START_MONITOR_H_
