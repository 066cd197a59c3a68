#include "policy/service_estimator.h"

namespace gateway::policy {
namespace {

// Weight of one response in the means of its class.
constexpr double kSampleWeight = 0.02;
// Expected latency before the first response, as a share of the latency objective.
constexpr double kInitialObjectiveShare = 0.25;

}  // namespace

ServiceEstimator::ServiceEstimator(const Settings& settings)
    : settings_(settings), mean_cost_units_(settings.classes.size(), 0) {
  mean_latency_s_.reserve(settings.classes.size());
  for (const ClassSettings& request_class : settings.classes) {
    mean_latency_s_.push_back(request_class.latency_objective_s * kInitialObjectiveShare);
  }
}

ServiceEstimator::Sample ServiceEstimator::RecordResponse(int request_class, double cost_units,
                                                          double latency_s) {
  auto index = static_cast<size_t>(request_class);
  double& mean_units = mean_cost_units_[index];
  mean_units += (mean_units > 0 ? kSampleWeight : 1) * (cost_units - mean_units);
  double relative_cost = cost_units / mean_units;
  double mean_latency_s = mean_latency_s_[index];
  // The cap prevents a single response that waited in a long queue from making the whole class look slow.
  double capped_latency_s = std::min(latency_s, settings_.classes[index].latency_objective_s);
  mean_latency_s_[index] += kSampleWeight * (capped_latency_s - mean_latency_s);
  return {latency_s / (mean_latency_s * relative_cost), latency_s - mean_latency_s * (relative_cost - 1)};
}

}  // namespace gateway::policy
