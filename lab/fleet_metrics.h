// What is measured of a simulated fleet.
#ifndef GATEWAY_LAB_FLEET_METRICS_H_
#define GATEWAY_LAB_FLEET_METRICS_H_

#include <cstdint>
#include <vector>

#include "lab/backend_model.h"
#include "lab/histogram.h"
#include "lab/slow_start_monitor.h"

namespace gateway::lab {

// Of the measured time, and of all gateways together.
struct FleetMetrics {
  // Requests. Value is cost in units times the price of the tenant's plan.
  uint64_t first_requests = 0;  // of clients, without their retries
  uint64_t requests = 0;        // with them
  uint64_t delayed = 0;         // requests whose first attempt was not made at once
  uint64_t forwarded = 0;       // requests of which an attempt was made
  uint64_t served = 0;
  uint64_t served_in_time = 0;  // within the latency objective, from the first sending
  uint64_t rejected = 0;
  uint64_t failed = 0;
  uint64_t rejected_with_quota = 0;  // rejected before any attempt, though half of the burst was unused
  double forwarded_units = 0;
  double over_quota_units = 0;          // of the forwarded ones
  double offered_value = 0;             // that one gateway which saw all first requests would admit
  double in_quota_value_in_time = 0;    // within the quota when forwarded, and served in time
  double over_quota_penalty_value = 0;  // charged for what was forwarded beyond the quota
  Histogram added_latency_s;            // from a request's arrival to its first attempt
  Histogram served_latency_s;           // from its first sending to the answer

  // Counter calls.
  uint64_t counter_calls = 0;
  uint64_t counter_calls_late = 0;  // replied later than the settings' timeout, or not
  uint64_t counter_calls_rejected = 0;

  // Attempts and connections. The last three are of backends that were never restarted.
  uint64_t attempts = 0;
  uint64_t connections_opened = 0;
  uint64_t connections_reused = 0;
  double mean_connections = 0;  // at a backend, at the end
  double max_connections = 0;   // at any backend, at any time
  double imbalance = 0;         // work of the busiest backend, over the mean

  double endpoint_list_bytes = 0;  // sent by discovery
  double decision_us = 0;          // processor time of all policies, for each request

  SlowStartWindow slow_start;

  // The share of the offered value that was earned, less what was charged.
  double ValueShare() const {
    return offered_value > 0 ? (in_quota_value_in_time - over_quota_penalty_value) / offered_value : 0;
  }
};

// Collects the metrics of a run. Events before the measured time are ignored. Not thread-safe.
class FleetMetricsRecorder {
 public:
  explicit FleetMetricsRecorder(double measured_from_s) : measured_from_s_(measured_from_s) {}

  bool IsMeasured(double now_s) const { return now_s >= measured_from_s_; }

  // A client's first request, which an ideal gateway would admit or not.
  void OnFirstRequest(double now_s, double value, bool admitted_ideally);
  // A request at a gateway, retries of clients included.
  void OnRequest(double now_s);
  void OnRequestDelayed(double now_s);
  // The first attempt of a request. `penalty_value`: charged where it is not within the quota.
  void OnForwarded(double now_s, double arrived_s, double units, bool within_quota, double penalty_value);
  void OnAttempt(double now_s, bool connection_reused);
  // Belongs to the measured time by the request's first sending.
  void OnServed(double now_s, double first_sent_s, bool within_quota, double value);
  void OnRejected(double now_s, bool with_quota);
  void OnFailed(double now_s);
  // `duration_s`: from the call until the reply or the timeout.
  void OnCounterCall(double now_s, double duration_s, bool rejected);
  // Discovery sent this many entries. Counted from the start.
  void OnEndpointsSent(size_t entries);
  // Processor time spent in a policy. Counted from the start.
  void OnDecision(double processor_s) { decision_s_ += processor_s; }

  // The metrics of a run that has ended.
  FleetMetrics Finish(const std::vector<SimulatedBackend>& backends, const SlowStartWindow& slow_start);

 private:
  void SummarizeBackends(const std::vector<SimulatedBackend>& backends);

  const double measured_from_s_;
  double decision_s_ = 0;
  FleetMetrics metrics_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_METRICS_H_
