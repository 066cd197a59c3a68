// Checks whether the gateways of a simulated fleet together overload a backend that is warming up.
#ifndef GATEWAY_LAB_SLOW_START_MONITOR_H_
#define GATEWAY_LAB_SLOW_START_MONITOR_H_

#include <unordered_map>
#include <vector>

#include "lab/backend_model.h"
#include "lab/fleet_options.h"

namespace gateway::lab {

// The window in which a warming-up backend had the highest load. Work is counted in requests of mean work. If
// the overload rule allows N such requests in a window, the limit of that window is N + 2 sqrt(N) + 2
// (STANDING.md).
struct SlowStartWindow {
  double load_ratio = 0;               // work sent, divided by the limit
  double notified_load_ratio = 0;      // part of `load_ratio` from gateways that were notified of the restart
  double max_notified_load_ratio = 0;  // highest such part in any window
  double work_sent = 0;
  double work_allowed = 0;  // N in the rule above

  // Returns whether the rule is violated: the work exceeds the limit, and gateways that were notified of the
  // restart sent more than two thirds of that work.
  bool ViolatesLimit() const { return load_ratio > 1 && notified_load_ratio > load_ratio * 2 / 3; }
};

// Collects the attempts that arrive at restarted backends and finds the window with the highest load. Not
// thread-safe.
class SlowStartMonitor {
 public:
  // A backend is checked for `slow_start_duration_s` after its restart.
  SlowStartMonitor(const OverloadOptions& options, double slow_start_duration_s, double mean_work_s);

  // Records an attempt that arrives at a restarted backend at `arrival_s`. `notified` tells whether its
  // gateway was notified of the restart.
  void OnAttempt(int backend, double arrival_s, double work_s, bool notified);

  // Evaluates all windows of the backend since its last restart and removes its attempts. Must be called
  // before the backend restarts again and at the end of the run.
  void Evaluate(int backend, const SimulatedBackend& state);

  // Returns the window with the highest load of all evaluated windows.
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
