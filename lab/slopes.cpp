#include "lab/slopes.h"

#include <malloc.h>

#include <algorithm>
#include <memory>

#include "lab/fleet_settings.h"
#include "lab/fleet_simulation.h"
#include "lab/gateway_process_experiment.h"
#include "lab/line_fit.h"
#include "lab/processor_clock.h"
#include "lab/random.h"

namespace gateway::lab {
namespace {

// Of a line whose x counts thousands once scaled.
std::string FitText(const Line& line, const char* unit) {
  return FormatDecimal(line.intercept, 3) + " + " + FormatDecimal(line.slope * 1000, 3) + " " + unit +
         ", off by " + FormatDecimal(100 * line.max_relative_error, 0) + "% at the most";
}

}  // namespace

ModuleCost MeasureModule(int backends) {
  FleetOptions spec;
  spec.gateways = 780;
  spec.quotas.enabled = false;
  policy::Actions out;
  ModuleCost cost;
  auto held = [] { return mallinfo2().uordblks + mallinfo2().hblkhd; };  // small and large pieces
  auto module = std::make_unique<policy::AdmissionPolicy>(MakeGatewaySettings(spec), 1, 1000, &out);
  std::vector<policy::Endpoint> list;
  for (int i = 0; i < backends; ++i) {
    policy::Endpoint b;
    b.id = static_cast<uint32_t>(SplitMix64(static_cast<uint64_t>(i)));
    b.zone = i % 7;
    b.weight = 1;
    list.push_back(b);
  }
  size_t before = held();
  double begun = ThreadProcessorSeconds();
  module->OnEndpointUpdate(1000, policy::EndpointUpdateKind::kFull, list, &out);
  cost.list_ms = 1e3 * (ThreadProcessorSeconds() - begun);
  cost.memory_bytes = static_cast<double>(held()) - static_cast<double>(before);
  // A second one is what a watch that fell behind brings while it serves.
  begun = ThreadProcessorSeconds();
  module->OnEndpointUpdate(1000.1, policy::EndpointUpdateKind::kFull, list, &out);
  cost.list_ms = std::max(cost.list_ms, 1e3 * (ThreadProcessorSeconds() - begun));
  int requests = std::clamp(4000000 / backends, 500, 100000);
  begun = ThreadProcessorSeconds();
  double now = 1001;
  for (int i = 1; i <= requests; ++i) {
    out.clear();
    now += 0.0065;  // 154 a second
    policy::Request request;
    request.id = static_cast<uint32_t>(i);
    request.tenant = static_cast<uint64_t>(i % 1000) + 1;
    request.time_left_s = 3;
    request.cost_units = 1;
    module->OnRequest(now, request, &out);
    for (const policy::Action& action : policy::Actions(out)) {
      const auto* forward = std::get_if<policy::ForwardAttempt>(&action);
      if (forward == nullptr) continue;
      policy::AttemptOutcome outcome;
      outcome.request_id = request.id;
      outcome.request_finished = true;
      outcome.backend_id = forward->backend_id;
      module->OnAttemptOutcome(now + 0.1, outcome, &out);
    }
  }
  cost.decision_us = 1e6 * (ThreadProcessorSeconds() - begun) / requests;
  return cost;
}

std::vector<Report> RunSlopes(const std::string& gateway, bool brief) {
  std::vector<Report> reports;
  std::vector<int> sizes = {20, 60, 200, 600, 2000, 6700};

  Report module("The module's processor time and memory (one gateway)",
                {"backends", "a request's decision us", "a whole list ms", "memory MB"});
  std::vector<double> x, squares, decision, list;
  for (int n : sizes) {
    ModuleCost cost = MeasureModule(n);
    module.AddRow({std::to_string(n), FormatDecimal(cost.decision_us), FormatDecimal(cost.list_ms, 3),
                   FormatDecimal(cost.memory_bytes / (1 << 20), 2)});
    if (n >= 200) {
      x.push_back(n);
      squares.push_back(1e-3 * n * n);
      decision.push_back(cost.decision_us);
      list.push_back(cost.list_ms);
    }
  }
  module.AddRow({"fit of all from 200 on", FitText(FitLine(x, decision), "us a thousand backends"),
                 FitText(FitLine(squares, list), "ms a million of their square"), "-"});
  reports.push_back(module);

  std::vector<GatewayProcessRun> processes;
  for (int n : {20, 200, 2000, 6700}) {
    // 2,300 restarts a day, each told twice at least; and 84% of a service of thirty replaced in 20 s.
    for (double changes : {0.0, 0.05, 1.3, 20.0}) {
      if (brief && changes > 0 && changes < 20) continue;
      GatewayProcessOptions options;
      options.program = gateway;
      options.backends = n;
      options.changes_per_s = changes;
      options.measured_s = brief ? 1 : 4;
      processes.push_back({options, MeasureGatewayProcess(options)});
    }
  }
  reports.push_back(MakeGatewayProcessReport(processes));

  Report fleet(
      "The fleet in simulated time",
      {"gateways x backends", "tenants", "first tries/s", "counter bears/s", "calls/s", "late", "busy",
       "added p50 ms", "added p99 ms", "within 7.5 ms", "value", "beyond quota", "refused with room", "reuse",
       "conns at a backend", "most there", "conns a gateway", "imbalance", "module us a try"});
  struct Point {
    int gateways, backends, tenants;
    double rate, counter, seconds, spread_low, spread_high;
  };
  std::vector<Point> points = {{3, 12, 150, 140, 800, 20, 0.3, 1},
                               {60, 40, 300, 520, 600, 20, 0.3, 1},
                               {300, 200, 1000, 2600, 1100, 20, 0.3, 1},
                               {780, 6700, 17000, 120000, 20000, 1, 0.3, 1},
                               {780, 6700, 17000, 120000, 20000, 1, 0.002, 0.01}};
  if (brief) points.resize(2);
  for (const Point& p : points) {
    FleetOptions spec;
    spec.gateways = p.gateways;
    spec.backends = p.backends;
    spec.tenants.count = p.tenants;
    spec.traffic.requests_per_s = p.rate;
    spec.counter.calls_per_s = p.counter;
    spec.traffic.measured_s = p.seconds;
    spec.tenants.min_ingress_share = p.spread_low;
    spec.tenants.max_ingress_share = p.spread_high;
    if (p.gateways > 500) spec.zones = 7;
    FleetMetrics c = SimulateFleet(spec);
    double calls = static_cast<double>(c.counter_calls), tries = static_cast<double>(c.requests);
    fleet.AddRow({std::to_string(p.gateways) + " x " + std::to_string(p.backends), std::to_string(p.tenants),
                  FormatDecimal(p.rate, 0), FormatDecimal(p.counter, 0), FormatDecimal(calls / p.seconds, 0),
                  FormatPercent(static_cast<double>(c.counter_calls_late), calls),
                  FormatPercent(static_cast<double>(c.counter_calls_rejected), calls),
                  FormatDecimal(1e3 * c.added_latency_s.Percentile(0.5)),
                  FormatDecimal(1e3 * c.added_latency_s.Percentile(0.99), 1),
                  FormatPercent(c.added_latency_s.ShareUpTo(0.0075), 1), FormatDecimal(c.ValueShare(), 3),
                  FormatPercent(c.over_quota_units, c.forwarded_units),
                  FormatPercent(static_cast<double>(c.rejected_with_quota), tries),
                  FormatPercent(static_cast<double>(c.connections_reused), static_cast<double>(c.attempts)),
                  FormatDecimal(c.mean_connections, 1), FormatDecimal(c.max_connections, 0),
                  FormatDecimal(c.mean_connections * p.backends / p.gateways, 0), FormatDecimal(c.imbalance),
                  FormatDecimal(c.decision_us)});
  }
  reports.push_back(fleet);
  return reports;
}

}  // namespace gateway::lab
