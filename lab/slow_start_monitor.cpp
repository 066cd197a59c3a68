#include "lab/slow_start_monitor.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace gateway::lab {

SlowStartMonitor::SlowStartMonitor(const OverloadOptions& options, double slow_start_duration_s,
                                   double mean_work_s)
    : options_(options), slow_start_duration_s_(slow_start_duration_s), mean_work_s_(mean_work_s) {}

void SlowStartMonitor::OnAttempt(int backend, double arrival_s, double work_s, bool notified) {
  attempts_[backend].push_back({arrival_s, work_s / mean_work_s_, notified});
}

void SlowStartMonitor::Evaluate(int backend, const SimulatedBackend& state) {
  if (!state.restarted()) return;
  std::vector<SentAttempt>& sent = attempts_[backend];
  std::sort(sent.begin(), sent.end(),
            [](const SentAttempt& a, const SentAttempt& b) { return a.arrival_s < b.arrival_s; });
  double work = 0, notified_work = 0;
  size_t first = 0;  // first attempt of the window that ends with `last`
  for (const SentAttempt& last : sent) {
    if (last.arrival_s > state.restarted_at_s() + slow_start_duration_s_) break;
    work += last.work;
    notified_work += last.notified ? last.work : 0;
    while (sent[first].arrival_s <= last.arrival_s - options_.window_s) {
      work -= sent[first].work;
      notified_work -= sent[first].notified ? sent[first].work : 0;
      ++first;
    }
    EvaluateWindow(last.arrival_s, work, notified_work, state);
  }
  sent.clear();
}

void SlowStartMonitor::EvaluateWindow(double end_s, double work, double notified_work,
                                      const SimulatedBackend& state) {
  // Capacity rises with time, so it is lowest at the beginning of the window.
  double begin_s = std::max(state.restarted_at_s(), end_s - options_.window_s);
  double fraction = state.CapacityFraction(begin_s);
  double allowed = options_.multiple * fraction * state.cores() / mean_work_s_ * options_.window_s;
  double limit = allowed + 2 * std::sqrt(allowed) + 2;
  worst_window_.max_notified_load_ratio =
      std::max(worst_window_.max_notified_load_ratio, notified_work / limit);
  if (work / limit <= worst_window_.load_ratio) return;
  worst_window_.load_ratio = work / limit;
  worst_window_.notified_load_ratio = notified_work / limit;
  worst_window_.work_sent = work;
  worst_window_.work_allowed = allowed;
}

}  // namespace gateway::lab
