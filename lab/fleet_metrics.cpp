#include "lab/fleet_metrics.h"

#include <algorithm>

#include "lab/fleet_settings.h"

namespace gateway::lab {
namespace {

// Size of one backend's entry in discovery's list, as measured by the gateway process experiment.
constexpr double kEndpointEntryBytes = 157;

}  // namespace

void FleetMetricsRecorder::OnFirstRequest(double now_s, double value, bool admitted_by_ideal_gateway) {
  if (!IsMeasured(now_s)) return;
  ++metrics_.first_requests;
  if (admitted_by_ideal_gateway) metrics_.offered_value += value;
}

void FleetMetricsRecorder::OnRequest(double now_s) {
  if (IsMeasured(now_s)) ++metrics_.requests;
}

void FleetMetricsRecorder::OnRequestDelayed(double now_s) {
  if (IsMeasured(now_s)) ++metrics_.delayed;
}

void FleetMetricsRecorder::OnForwarded(double now_s, double arrived_at_s, double units, bool within_quota,
                                       double penalty_value) {
  if (!IsMeasured(now_s)) return;
  ++metrics_.forwarded;
  metrics_.added_latency_s.Add(now_s - arrived_at_s);
  metrics_.forwarded_units += units;
  if (within_quota) return;
  metrics_.over_quota_units += units;
  metrics_.over_quota_penalty_value += penalty_value;
}

void FleetMetricsRecorder::OnAttempt(double now_s, bool connection_reused) {
  if (!IsMeasured(now_s)) return;
  ++metrics_.attempts;
  ++(connection_reused ? metrics_.connections_reused : metrics_.connections_opened);
}

void FleetMetricsRecorder::OnServed(double now_s, double first_sent_at_s, bool within_quota, double value) {
  if (!IsMeasured(first_sent_at_s)) return;
  double latency_s = now_s - first_sent_at_s;
  ++metrics_.served;
  metrics_.served_latency_s.Add(latency_s);
  if (latency_s > kLatencyObjectiveS) return;
  ++metrics_.served_in_time;
  if (within_quota) metrics_.in_quota_value_in_time += value;
}

void FleetMetricsRecorder::OnRejected(double now_s, bool with_quota) {
  if (!IsMeasured(now_s)) return;
  ++metrics_.rejected;
  if (with_quota) ++metrics_.rejected_with_quota;
}

void FleetMetricsRecorder::OnFailed(double now_s) {
  if (IsMeasured(now_s)) ++metrics_.failed;
}

void FleetMetricsRecorder::OnCounterCall(double now_s, double duration_s, bool rejected) {
  if (!IsMeasured(now_s)) return;
  ++metrics_.counter_calls;
  if (rejected) ++metrics_.counter_calls_rejected;
  if (duration_s > kCounterTimeoutS) ++metrics_.counter_calls_late;
}

void FleetMetricsRecorder::OnEndpointsSent(size_t entries) {
  metrics_.endpoint_list_bytes += kEndpointEntryBytes * static_cast<double>(entries);
}

FleetMetrics FleetMetricsRecorder::Finish(const std::vector<SimulatedBackend>& backends,
                                          const SlowStartWindow& slow_start) {
  SummarizeBackends(backends);
  metrics_.slow_start = slow_start;
  metrics_.decision_us = 1e6 * decision_s_ / std::max<double>(1, static_cast<double>(metrics_.requests));
  return metrics_;
}

void FleetMetricsRecorder::SummarizeBackends(const std::vector<SimulatedBackend>& backends) {
  double count = 0, max_work_s = 0, work_s = 0, connections = 0;
  for (const SimulatedBackend& backend : backends) {
    if (backend.restarted()) continue;
    count += 1;
    max_work_s = std::max(max_work_s, backend.served_work_s());
    work_s += backend.served_work_s();
    connections += backend.connections();
    metrics_.max_connections = std::max<double>(metrics_.max_connections, backend.max_connections());
  }
  metrics_.imbalance = work_s > 0 ? max_work_s / (work_s / count) : 0;
  metrics_.mean_connections = count > 0 ? connections / count : 0;
}

}  // namespace gateway::lab
