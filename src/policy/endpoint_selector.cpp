#include "policy/endpoint_selector.h"

#include <optional>

namespace gateway::policy {
namespace {

// Factors by which the cost of a backend is multiplied.
constexpr double kOtherZoneFactor = 1.5;
constexpr double kWarmingUpFactor = 0.3;
constexpr double kMinRandomFactor = 0.95;
constexpr double kRandomFactorRange = 0.1;
// Added for each attempt that the request has already had at the backend. It exceeds the usual cost of a
// backend, so that the request goes to another one. A high relative latency or failure rate together with
// many attempts in flight can still cost more: for example 25 attempts in flight at a relative latency of 5.
constexpr double kRepeatedBackendCost = 100;

}  // namespace

// IsUsable and Cost are inline because they run for every backend on every request.
inline bool EndpointSelector::IsUsable(const InFlightRequest& request, Backend* backend, double now_s) const {
  if (!backend->IsReady()) return false;
  if (!request.attempts.empty() && !retry_policy_.AllowsEndpoint(request, backend->endpoint)) return false;
  if (backend->outlier.IsOnProbation() && backend->attempts_in_flight > 0) return false;
  if (!backend->limiter.HasRoom(backend->attempts_in_flight)) return false;
  return !backend->warm_up.IsActive() || slow_start_.RefillAndCheckBudget(&backend->warm_up, now_s);
}

inline double EndpointSelector::Cost(const InFlightRequest& request, const Backend& backend) const {
  double random_factor = kMinRandomFactor + kRandomFactorRange * random_.Uniform();
  double cost = backend.relative_latency * (backend.attempts_in_flight + 1) * backend.outlier.CostFactor() *
                random_factor;
  if (backend.endpoint.zone != zone_) cost *= kOtherZoneFactor;
  if (backend.warm_up.IsActive()) cost *= kWarmingUpFactor;
  for (const Attempt& attempt : request.attempts) {
    bool repeated = attempt.backend_id == backend.endpoint.id && backend.IsServing(attempt);
    if (repeated) cost += kRepeatedBackendCost;
  }
  return cost;
}

bool EndpointSelector::MayExcludeEjected(double now_s) const {
  int ready_count = 0;
  int ejected_count = 0;
  for (const Backend& backend : endpoints_.backends()) {
    if (!backend.IsReady()) continue;
    ++ready_count;
    if (backend.outlier.IsEjected(now_s)) ++ejected_count;
  }
  return OutlierDetector::MayExclude(ejected_count, ready_count);
}

Backend* EndpointSelector::Select(const InFlightRequest& request, double now_s, Candidates candidates) {
  slow_start_.SetWarmBackendCount(endpoints_.WarmCount());
  std::optional<bool> exclude_ejected;  // determined at the first ejected backend
  Backend* best = nullptr;
  double best_cost = 0;
  for (Backend& backend : endpoints_.backends()) {
    if (backend.outlier.IsEjected(now_s)) {
      if (!exclude_ejected.has_value()) exclude_ejected = MayExcludeEjected(now_s);
      if (*exclude_ejected) continue;
    }
    if (!IsUsable(request, &backend, now_s)) continue;
    if (candidates == Candidates::kWarmingUp && !backend.warm_up.IsActive()) continue;
    double cost = Cost(request, backend);
    if (best == nullptr || cost < best_cost) {
      best = &backend;
      best_cost = cost;
    }
  }
  return best;
}

}  // namespace gateway::policy
