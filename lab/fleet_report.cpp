#include "lab/fleet_report.h"

#include <cstdint>
#include <string>

namespace gateway::lab {
namespace {

constexpr const char* kTitle = "The fleet in simulated time";
constexpr double kAddedLatencyObjectiveS = 0.0075;

std::string Percent(uint64_t part, uint64_t total) {
  return FormatPercent(static_cast<double>(part), static_cast<double>(total));
}

using Run = FleetRun;
using RunColumn = Column<FleetRun>;

// Columns with the options of a run.
constexpr RunColumn kGatewaysAndBackends = {"gateways x backends", [](const Run& run) {
                                              return std::to_string(run.options.gateways) + " x " +
                                                     std::to_string(run.options.backends);
                                            }};
constexpr RunColumn kSeed = {"seed", [](const Run& run) { return std::to_string(run.options.seed); }};
constexpr RunColumn kTenants = {"tenants",
                                [](const Run& run) { return std::to_string(run.options.tenants.count); }};
constexpr RunColumn kRequestRate = {
    "first tries/s", [](const Run& run) { return FormatDecimal(run.options.traffic.requests_per_s, 0); }};
constexpr RunColumn kCounterCapacity = {
    "counter bears/s", [](const Run& run) { return FormatDecimal(run.options.counter.calls_per_s, 0); }};

// Columns on requests.
constexpr RunColumn kFirstRequests = {
    "first tries", [](const Run& run) { return std::to_string(run.metrics.first_requests); }};
constexpr RunColumn kServedInTime = {"in time", [](const Run& run) {
                                       return Percent(run.metrics.served_in_time, run.metrics.first_requests);
                                     }};
constexpr RunColumn kValue = {"value",
                              [](const Run& run) { return FormatDecimal(run.metrics.ValueShare(), 3); }};
constexpr RunColumn kDelayed = {
    "held", [](const Run& run) { return Percent(run.metrics.delayed, run.metrics.requests); }};
constexpr RunColumn kAddedLatencyMedian = {
    "added p50 ms",
    [](const Run& run) { return FormatDecimal(1e3 * run.metrics.added_latency_s.Percentile(0.5)); }};
constexpr RunColumn kAddedLatencyP99 = {
    "added p99 ms",
    [](const Run& run) { return FormatDecimal(1e3 * run.metrics.added_latency_s.Percentile(0.99), 1); }};
constexpr RunColumn kAddedLatencyInObjective = {
    "within 7.5 ms", [](const Run& run) {
      return FormatPercent(run.metrics.added_latency_s.ShareUpTo(kAddedLatencyObjectiveS), 1);
    }};
constexpr RunColumn kOverQuota = {
    "beyond quota",
    [](const Run& run) { return FormatPercent(run.metrics.over_quota_units, run.metrics.forwarded_units); }};
constexpr RunColumn kRejectedWithQuota = {
    "refused with room",
    [](const Run& run) { return Percent(run.metrics.rejected_with_quota, run.metrics.requests); }};

// Columns on counter calls.
constexpr RunColumn kCounterCallRate = {
    "calls/s", [](const Run& run) {
      return FormatDecimal(static_cast<double>(run.metrics.counter_calls) / run.options.traffic.measured_s,
                           0);
    }};
constexpr RunColumn kCounterCallsLate = {
    "late",
    [](const Run& run) { return Percent(run.metrics.counter_calls_late, run.metrics.counter_calls); }};
constexpr RunColumn kCounterCallsRejected = {
    "busy",
    [](const Run& run) { return Percent(run.metrics.counter_calls_rejected, run.metrics.counter_calls); }};

// Columns on connections and backends.
constexpr RunColumn kConnectionReuse = {
    "reuse", [](const Run& run) { return Percent(run.metrics.connections_reused, run.metrics.attempts); }};
constexpr RunColumn kMeanConnections = {
    "conns at a backend", [](const Run& run) { return FormatDecimal(run.metrics.mean_connections, 1); }};
std::string FormatMaxConnections(const Run& run) { return FormatDecimal(run.metrics.max_connections, 0); }
constexpr RunColumn kMaxConnections = {"most", FormatMaxConnections};
constexpr RunColumn kMaxConnectionsAtBackend = {"most there", FormatMaxConnections};
constexpr RunColumn kConnectionsOfGateway = {
    "conns a gateway", [](const Run& run) {
      return FormatDecimal(run.metrics.mean_connections * run.options.backends / run.options.gateways, 0);
    }};
constexpr RunColumn kImbalance = {"imbalance",
                                  [](const Run& run) { return FormatDecimal(run.metrics.imbalance); }};

// Columns on the use of the network and the processor.
constexpr RunColumn kEndpointListRate = {
    "list kB/s a gateway", [](const Run& run) {
      double bytes_per_gateway = run.metrics.endpoint_list_bytes / run.options.gateways;
      return FormatDecimal(bytes_per_gateway / run.options.traffic.measured_s / 1e3);
    }};
constexpr RunColumn kDecisionTime = {"module us a try",
                                     [](const Run& run) { return FormatDecimal(run.metrics.decision_us); }};

}  // namespace

Report MakeFleetReport(const std::vector<FleetRun>& runs) {
  return MakeReport<FleetRun>(kTitle,
                              {kGatewaysAndBackends,
                               kSeed,
                               kFirstRequests,
                               kServedInTime,
                               kValue,
                               kDelayed,
                               kAddedLatencyMedian,
                               kAddedLatencyP99,
                               kAddedLatencyInObjective,
                               kCounterCallRate,
                               kCounterCallsLate,
                               kCounterCallsRejected,
                               kOverQuota,
                               kRejectedWithQuota,
                               kConnectionReuse,
                               kMeanConnections,
                               kMaxConnections,
                               kImbalance,
                               kEndpointListRate,
                               kDecisionTime},
                              runs);
}

Report MakeFleetSizeReport(const std::vector<FleetRun>& runs) {
  return MakeReport<FleetRun>(
      kTitle,
      {kGatewaysAndBackends, kTenants, kRequestRate, kCounterCapacity, kCounterCallRate, kCounterCallsLate,
       kCounterCallsRejected, kAddedLatencyMedian, kAddedLatencyP99, kAddedLatencyInObjective, kValue,
       kOverQuota, kRejectedWithQuota, kConnectionReuse, kMeanConnections, kMaxConnectionsAtBackend,
       kConnectionsOfGateway, kImbalance, kDecisionTime},
      runs);
}

}  // namespace gateway::lab
