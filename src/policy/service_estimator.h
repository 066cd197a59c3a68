// How long requests take and what they cost, learnt by class from their answers.
#ifndef GATEWAY_POLICY_SERVICE_ESTIMATOR_H_
#define GATEWAY_POLICY_SERVICE_ESTIMATOR_H_

#include <algorithm>
#include <vector>

#include "policy/events.h"
#include "policy/settings.h"

namespace gateway::policy {

// Latency is taken to be proportional to cost within a class.
class ServiceEstimator {
 public:
  // What one answer shows, against the mean of its class before it.
  struct Sample {
    double relative_latency = 1;  // over the mean latency of requests of its cost
    double cost_adjusted_s = 0;   // latency, as if the request had the mean cost
  };

  explicit ServiceEstimator(const Settings& settings);

  // Expected latency of a request at a backend of mean speed.
  double ExpectedLatencyS(const Request& request) const {
    auto index = static_cast<size_t>(request.request_class);
    double mean_units = mean_cost_units_[index];
    return mean_latency_s_[index] * (mean_units > 0 ? request.cost_units / mean_units : 1);
  }
  double MeanLatencyS(int request_class) const { return mean_latency_s_[static_cast<size_t>(request_class)]; }
  double MaxMeanLatencyS() const { return *std::max_element(mean_latency_s_.begin(), mean_latency_s_.end()); }

  Sample RecordResponse(int request_class, double cost_units, double latency_s);

 private:
  const Settings& settings_;
  std::vector<double> mean_latency_s_;   // by class
  std::vector<double> mean_cost_units_;  // by class; 0: none seen
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SERVICE_ESTIMATOR_H_
