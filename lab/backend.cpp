#include "lab/backend.h"

#include <algorithm>

namespace gateway::lab {

double HollowBackend::Fraction(double now_s) const {
  if (started_s_ <= 0) return 1;
  double warmed = std::clamp((now_s - started_s_) / std::max(1e-9, spec_.warm_after_s), 0.0, 1.0);
  return spec_.cold_from + (1 - spec_.cold_from) * warmed;
}

double HollowBackend::Serve(double now_s, double work_s) {
  double& core = *std::min_element(free_at_.begin(), free_at_.end());
  double start = std::max(now_s, core);
  if (start - now_s > spec_.most_wait_s) return -1;
  work_s_ += work_s;
  core = start + work_s / Fraction(start);
  return core;
}

}  // namespace gateway::lab
