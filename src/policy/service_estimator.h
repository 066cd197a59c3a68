// Estimates the latency and the cost of requests by class, from the responses of the backends.
#ifndef GATEWAY_POLICY_SERVICE_ESTIMATOR_H_
#define GATEWAY_POLICY_SERVICE_ESTIMATOR_H_

#include <algorithm>
#include <vector>

#include "policy/events.h"
#include "policy/settings.h"

namespace gateway::policy {

// Within a class, latency is assumed to be proportional to cost. The means are taken over the responses of
// all backends.
class ServiceEstimator {
 public:
  // One response, compared with the means of its class before this response.
  struct Sample {
    double relative_latency = 1;         // latency divided by the mean latency of requests of the same cost
    double cost_adjusted_latency_s = 0;  // latency if the request had had the mean cost
  };

  explicit ServiceEstimator(const Settings& settings);

  // Returns the expected latency of a request at a backend of average speed.
  double ExpectedLatencyS(const Request& request) const {
    auto index = static_cast<size_t>(request.request_class);
    double mean_units = mean_cost_units_[index];
    return mean_latency_s_[index] * (mean_units > 0 ? request.cost_units / mean_units : 1);
  }
  double MeanLatencyS(int request_class) const { return mean_latency_s_[static_cast<size_t>(request_class)]; }
  double MaxMeanLatencyS() const { return *std::max_element(mean_latency_s_.begin(), mean_latency_s_.end()); }

  // Updates the means of the class with a successful response.
  Sample RecordResponse(int request_class, double cost_units, double latency_s);

 private:
  const Settings& settings_;
  std::vector<double> mean_latency_s_;   // by class
  std::vector<double> mean_cost_units_;  // by class; 0: no response yet
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_SERVICE_ESTIMATOR_H_
