#include "lab/capacity_experiment.h"

#include <malloc.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "lab/fleet_report.h"
#include "lab/fleet_settings.h"
#include "lab/fleet_simulation.h"
#include "lab/gateway_process_experiment.h"
#include "lab/line_fit.h"
#include "lab/processor_clock.h"
#include "policy/random_source.h"

namespace gateway::lab {
namespace {

constexpr int kGatewayCount = 780;
constexpr int kZones = 7;

// Measurements of the decision module.
constexpr uint64_t kPolicySeed = 1;
// Times of the events on the policy's clock.
constexpr double kFullListAtS = 1000;
constexpr double kRepeatedListAtS = 1000.1;
constexpr double kFirstRequestAtS = 1001;
constexpr double kRequestIntervalS = 0.0065;  // 154 requests per second
constexpr double kAttemptDurationS = 0.1;
constexpr double kRequestTimeLeftS = 3;
constexpr int kRequestTenants = 1000;
// The duration of a measurement is proportional to the number of requests times the number of backends.
constexpr int kRequestsTimesBackends = 4000000;
constexpr int kMinRequests = 500, kMaxRequests = 100000;
constexpr int kMinBackendsForFit = 200;  // measurements with fewer backends are left out of the line fit

// Simulations of fleets.
constexpr int kLargeFleetGateways = 500;  // a fleet with more gateways has kZones zones
constexpr size_t kBriefFleets = 2;

size_t HeapBytesInUse() {
  const struct mallinfo2 heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;  // bytes in the arenas and in mapped blocks
}

policy::Settings MakePolicySettings() {
  FleetOptions fleet;
  fleet.gateways = kGatewayCount;
  fleet.quotas.enabled = false;
  return MakeGatewaySettings(fleet);
}

std::vector<policy::Endpoint> MakeEndpoints(int count) {
  std::vector<policy::Endpoint> endpoints(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    policy::Endpoint& endpoint = endpoints[static_cast<size_t>(i)];
    endpoint.id = static_cast<uint32_t>(policy::MixBits(static_cast<uint64_t>(i)));
    endpoint.zone = i % kZones;
    endpoint.weight = 1;
  }
  return endpoints;
}

// Returns the processor time in milliseconds that the policy needs for a full endpoint list.
double MeasureFullListMs(policy::AdmissionPolicy* policy, double now_s,
                         const std::vector<policy::Endpoint>& endpoints, policy::Actions* actions) {
  double begin_s = ThreadProcessorSeconds();
  policy->OnEndpointUpdate(now_s, policy::EndpointUpdateKind::kFull, endpoints, actions);
  return 1e3 * (ThreadProcessorSeconds() - begin_s);
}

// Passes one request to the policy and reports all its attempts as served.
void ProcessRequest(policy::AdmissionPolicy* policy, int number, double now_s, policy::Actions* actions) {
  actions->clear();
  policy::Request request;
  request.id = static_cast<uint32_t>(number);
  request.tenant = static_cast<uint64_t>(number % kRequestTenants) + 1;
  request.time_left_s = kRequestTimeLeftS;
  request.cost_units = 1;
  policy->OnRequest(now_s, request, actions);
  for (const policy::Action& action : policy::Actions(*actions)) {
    const auto* forward = std::get_if<policy::ForwardAttempt>(&action);
    if (forward == nullptr) continue;
    policy::AttemptOutcome outcome;
    outcome.request_id = request.id;
    outcome.request_finished = true;
    outcome.backend_id = forward->backend_id;
    policy->OnAttemptOutcome(now_s + kAttemptDurationS, outcome, actions);
  }
}

// Returns the mean processor time per request in microseconds.
double MeasureDecisionUs(policy::AdmissionPolicy* policy, int backends, policy::Actions* actions) {
  int requests = std::clamp(kRequestsTimesBackends / backends, kMinRequests, kMaxRequests);
  double begin_s = ThreadProcessorSeconds();
  double now_s = kFirstRequestAtS;
  for (int i = 1; i <= requests; ++i) {
    now_s += kRequestIntervalS;
    ProcessRequest(policy, i, now_s, actions);
  }
  return 1e6 * (ThreadProcessorSeconds() - begin_s) / requests;
}

// Formats the fitted line. `unit` is the unit of the slope per 1000 of x.
std::string FormatLine(const Line& line, const std::string& unit) {
  return FormatDecimal(line.intercept, 3) + " + " + FormatDecimal(line.slope * 1000, 3) + " " + unit +
         ", off by " + FormatDecimal(100 * line.max_relative_error, 0) + "% at the most";
}

Report MeasurePolicyCosts() {
  std::vector<PolicyCost> costs;
  for (int backends : {20, 60, 200, 600, 2000, 6700}) costs.push_back(MeasurePolicyCost(backends));

  static const std::vector<Column<PolicyCost>> kColumns = {
      {"backends", [](const PolicyCost& cost) { return std::to_string(cost.backends); }},
      {"a request's decision us", [](const PolicyCost& cost) { return FormatDecimal(cost.decision_us); }},
      {"a whole list ms", [](const PolicyCost& cost) { return FormatDecimal(cost.full_list_ms, 3); }},
      {"memory MB", [](const PolicyCost& cost) { return FormatDecimal(cost.memory_bytes / (1 << 20)); }}};
  Report report = MakeReport("The module's processor time and memory (one gateway)", kColumns, costs);

  std::vector<double> backends, backends_squared_in_thousands, decision_us, full_list_ms;
  for (const PolicyCost& cost : costs) {
    if (cost.backends < kMinBackendsForFit) continue;
    backends.push_back(cost.backends);
    backends_squared_in_thousands.push_back(1e-3 * cost.backends * cost.backends);
    decision_us.push_back(cost.decision_us);
    full_list_ms.push_back(cost.full_list_ms);
  }
  report.AddRow(
      {"fit of all from " + std::to_string(kMinBackendsForFit) + " on",
       FormatLine(FitLine(backends, decision_us), "us a thousand backends"),
       FormatLine(FitLine(backends_squared_in_thousands, full_list_ms), "ms a million of their square"),
       "-"});
  return report;
}

Report MeasureGatewayProcesses(const std::string& program, bool brief) {
  // 0.05 changes per second are 2,300 restarts a day with two changes each. 1.3 changes per second occur when
  // 84% of 30 backends change within 20 s.
  constexpr double kMaxChangesPerS = 20;
  const std::vector<double> change_rates =
      brief ? std::vector<double>{0, kMaxChangesPerS} : std::vector<double>{0, 0.05, 1.3, kMaxChangesPerS};
  std::vector<GatewayProcessRun> runs;
  for (int backends : {20, 200, 2000, 6700}) {
    for (double changes_per_s : change_rates) {
      GatewayProcessOptions options;
      options.program = program;
      options.backends = backends;
      options.changes_per_s = changes_per_s;
      options.measured_s = brief ? 1 : 4;
      runs.push_back({options, MeasureGatewayProcess(options)});
    }
  }
  return MakeGatewayProcessReport(runs);
}

struct FleetSize {
  int gateways = 0;
  int backends = 0;
  int tenants = 0;
  double requests_per_s = 0;
  double counter_calls_per_s = 0;
  double measured_s = 0;
  double min_ingress_share = 0;
  double max_ingress_share = 0;
};

FleetOptions MakeFleetOptions(const FleetSize& size) {
  FleetOptions options;
  options.gateways = size.gateways;
  options.backends = size.backends;
  if (size.gateways > kLargeFleetGateways) options.zones = kZones;
  options.tenants.count = size.tenants;
  options.tenants.min_ingress_share = size.min_ingress_share;
  options.tenants.max_ingress_share = size.max_ingress_share;
  options.traffic.requests_per_s = size.requests_per_s;
  options.traffic.measured_s = size.measured_s;
  options.counter.calls_per_s = size.counter_calls_per_s;
  return options;
}

Report SimulateFleets(bool brief) {
  std::vector<FleetSize> sizes = {{3, 12, 150, 140, 800, 20, 0.3, 1},
                                  {60, 40, 300, 520, 600, 20, 0.3, 1},
                                  {300, 200, 1000, 2600, 1100, 20, 0.3, 1},
                                  {780, 6700, 17000, 120000, 20000, 1, 0.3, 1},
                                  {780, 6700, 17000, 120000, 20000, 1, 0.002, 0.01}};
  if (brief) sizes.resize(kBriefFleets);
  std::vector<FleetRun> runs;
  for (const FleetSize& size : sizes) {
    FleetOptions options = MakeFleetOptions(size);
    runs.push_back({options, SimulateFleet(options)});
  }
  return MakeFleetSizeReport(runs);
}

}  // namespace

PolicyCost MeasurePolicyCost(int backends) {
  policy::Actions actions;
  policy::AdmissionPolicy policy(MakePolicySettings(), kPolicySeed, kFullListAtS, &actions);
  const std::vector<policy::Endpoint> endpoints = MakeEndpoints(backends);
  PolicyCost cost;
  cost.backends = backends;

  size_t heap_bytes = HeapBytesInUse();
  double first_ms = MeasureFullListMs(&policy, kFullListAtS, endpoints, &actions);
  cost.memory_bytes = static_cast<double>(HeapBytesInUse()) - static_cast<double>(heap_bytes);
  // A gateway whose watch has fallen behind receives another full list while it serves requests.
  double second_ms = MeasureFullListMs(&policy, kRepeatedListAtS, endpoints, &actions);
  cost.full_list_ms = std::max(first_ms, second_ms);
  cost.decision_us = MeasureDecisionUs(&policy, backends, &actions);
  return cost;
}

std::vector<Report> RunCapacityExperiment(const std::string& program, bool brief) {
  std::vector<Report> reports;
  reports.push_back(MeasurePolicyCosts());
  reports.push_back(MeasureGatewayProcesses(program, brief));
  reports.push_back(SimulateFleets(brief));
  return reports;
}

}  // namespace gateway::lab
