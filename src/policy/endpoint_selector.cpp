#include "policy/endpoint_selector.h"

#include <optional>

namespace gateway::policy {
namespace {

// Factors on the cost of a backend.
constexpr double kOtherZoneFactor = 1.5;
constexpr double kWarmingUpFactor = 0.3;
constexpr double kMinRandomFactor = 0.95;
constexpr double kRandomFactorRange = 0.1;
// Added for each attempt that the request has had there: more than any other cost.
constexpr double kRepeatedBackendCost = 100;

}  // namespace

// Both run for every backend of every request.
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
    if (attempt.backend_id == backend.endpoint.id) cost += kRepeatedBackendCost;
  }
  return cost;
}

bool EndpointSelector::MayExcludeEjected(double now_s) const {
  int ready = 0;
  int ejected = 0;
  for (const Backend& backend : endpoints_.backends()) {
    if (!backend.IsReady()) continue;
    ++ready;
    if (backend.outlier.IsEjected(now_s)) ++ejected;
  }
  return OutlierDetector::MayExclude(ejected, ready);
}

Backend* EndpointSelector::Select(const InFlightRequest& request, double now_s, Candidates candidates) {
  slow_start_.SetWarmBackendCount(endpoints_.WarmCount());
  std::optional<bool> exclude_ejected;  // counted only where a backend is ejected
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
