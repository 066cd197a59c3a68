// The metrics of a simulated fleet.
#ifndef GATEWAY_LAB_FLEET_METRICS_H_
#define GATEWAY_LAB_FLEET_METRICS_H_

#include <cstdint>
#include <vector>

#include "lab/backend_model.h"
#include "lab/histogram.h"
#include "lab/slow_start_monitor.h"

namespace gateway::lab {

// The metrics of all gateways together during the measured time, except where FleetMetricsRecorder counts
// from the start of the run.
struct FleetMetrics {
  // Requests. The value of a request is its cost in units times the unit price of its tenant's plan.
  uint64_t first_requests = 0;  // requests of clients without retries
  uint64_t requests = 0;        // requests of clients including retries
  uint64_t delayed = 0;         // requests whose first attempt was not made immediately
  uint64_t forwarded = 0;       // requests with at least one attempt
  uint64_t served = 0;
  uint64_t served_in_time = 0;  // served within the latency objective after the client's first sending
  uint64_t rejected = 0;
  uint64_t failed = 0;
  uint64_t rejected_with_quota = 0;  // rejected before any attempt with at least half of the burst unused
  double forwarded_units = 0;
  double over_quota_units = 0;          // forwarded units that exceeded their tenant's quota
  double offered_value = 0;             // what a single gateway that receives all first requests would admit
  double in_quota_value_in_time = 0;    // value of requests forwarded within the quota and served in time
  double over_quota_penalty_value = 0;  // penalty for requests forwarded over quota
  Histogram added_latency_s;            // from the arrival of a request to its first attempt
  Histogram served_latency_s;           // from the first sending of a request to its response

  // Counter calls.
  uint64_t counter_calls = 0;
  uint64_t counter_calls_late = 0;  // the reply came after the timeout of the settings, or not at all
  uint64_t counter_calls_rejected = 0;

  // Attempts and connections. The mean and the maximum of connections and the imbalance cover only backends
  // that were never restarted.
  uint64_t attempts = 0;
  uint64_t connections_opened = 0;
  uint64_t connections_reused = 0;
  double mean_connections = 0;  // connections of a backend at the end
  double max_connections = 0;   // highest number of connections that a backend had
  double imbalance = 0;         // work of the busiest backend divided by the mean

  double endpoint_list_bytes = 0;  // bytes that discovery sent
  double decision_us = 0;          // processor time of all policies per request

  SlowStartWindow slow_start;

  // Returns the value served in time minus the penalties, as a share of the offered value.
  double ValueShare() const {
    return offered_value > 0 ? (in_quota_value_in_time - over_quota_penalty_value) / offered_value : 0;
  }
};

// Collects the metrics of a run. Events before the measured time are ignored unless noted otherwise. Not
// thread-safe.
class FleetMetricsRecorder {
 public:
  explicit FleetMetricsRecorder(double measured_from_s) : measured_from_s_(measured_from_s) {}

  bool IsMeasured(double now_s) const { return now_s >= measured_from_s_; }

  // Records the first sending of a request. `admitted_by_ideal_gateway` tells whether a single gateway that
  // receives all first requests would admit it.
  void OnFirstRequest(double now_s, double value, bool admitted_by_ideal_gateway);
  // Records a request, or a client's retry, that arrives at a gateway.
  void OnRequest(double now_s);
  void OnRequestDelayed(double now_s);
  // Records the first attempt of a request. `penalty_value` is charged if the request is not within the
  // quota.
  void OnForwarded(double now_s, double arrived_at_s, double units, bool within_quota, double penalty_value);
  void OnAttempt(double now_s, bool connection_reused);
  // Records a served request. It counts if its first sending is in the measured time.
  void OnServed(double now_s, double first_sent_at_s, bool within_quota, double value);
  void OnRejected(double now_s, bool with_quota);
  void OnFailed(double now_s);
  // Records a call to the counter. `duration_s` is the time from the call to the reply or the timeout.
  void OnCounterCall(double now_s, double duration_s, bool rejected);
  // Records that discovery sent `entries` endpoints to a gateway. Counts from the start of the run.
  void OnEndpointsSent(size_t entries);
  // Records processor time spent in a policy. Counts from the start of the run.
  void OnDecision(double processor_s) { decision_s_ += processor_s; }

  // Returns the metrics after the run has ended.
  FleetMetrics Finish(const std::vector<SimulatedBackend>& backends, const SlowStartWindow& slow_start);

 private:
  void SummarizeBackends(const std::vector<SimulatedBackend>& backends);

  const double measured_from_s_;
  double decision_s_ = 0;
  FleetMetrics metrics_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_METRICS_H_
