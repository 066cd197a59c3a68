// gateway-lab: what a fleet of gateways does, in simulated time and on loopback.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "lab/cold.h"
#include "lab/fleet_simulation.h"
#include "lab/gateway_process_experiment.h"
#include "lab/report.h"
#include "lab/slopes.h"

namespace {

using gateway::lab::FleetMetrics;
using gateway::lab::FleetOptions;
using gateway::lab::FormatDecimal;
using gateway::lab::Report;

// Prints the table, and writes the JSON where a file is named. False where that can't be.
bool Show(const Report& report, const std::string& json) {
  std::fputs(report.ToMarkdown().c_str(), stdout);
  if (json.empty()) return true;
  std::ofstream out(json);
  out << report.ToJson();
  if (out.flush()) return true;
  std::fprintf(stderr, "gateway-lab: cannot write %s\n", json.c_str());
  return false;
}

void AddRow(Report* report, const FleetOptions& spec, const FleetMetrics& c) {
  double tries = static_cast<double>(c.requests), firsts = static_cast<double>(c.first_requests);
  report->AddRow({std::to_string(spec.gateways) + " x " + std::to_string(spec.backends),
                  std::to_string(spec.seed),
                  std::to_string(c.first_requests),
                  gateway::lab::FormatPercent(static_cast<double>(c.served_in_time), firsts),
                  FormatDecimal(c.ValueShare(), 3),
                  gateway::lab::FormatPercent(static_cast<double>(c.delayed), tries),
                  FormatDecimal(1e3 * c.added_latency_s.Percentile(0.5), 2),
                  FormatDecimal(1e3 * c.added_latency_s.Percentile(0.99), 1),
                  gateway::lab::FormatPercent(c.added_latency_s.ShareUpTo(0.0075), 1),
                  FormatDecimal(static_cast<double>(c.counter_calls) / spec.traffic.measured_s, 0),
                  gateway::lab::FormatPercent(static_cast<double>(c.counter_calls_late),
                                              static_cast<double>(c.counter_calls)),
                  gateway::lab::FormatPercent(static_cast<double>(c.counter_calls_rejected),
                                              static_cast<double>(c.counter_calls)),
                  gateway::lab::FormatPercent(c.over_quota_units, c.forwarded_units),
                  gateway::lab::FormatPercent(static_cast<double>(c.rejected_with_quota), tries),
                  gateway::lab::FormatPercent(static_cast<double>(c.connections_reused),
                                              static_cast<double>(c.attempts)),
                  FormatDecimal(c.mean_connections, 1),
                  FormatDecimal(c.max_connections, 0),
                  FormatDecimal(c.imbalance, 2),
                  FormatDecimal(c.endpoint_list_bytes / spec.gateways / spec.traffic.measured_s / 1e3, 2),
                  FormatDecimal(c.decision_us, 2)});
}

Report FleetReport(const std::string& title) {
  return Report(title, {"gateways x backends",
                        "seed",
                        "first tries",
                        "in time",
                        "value",
                        "held",
                        "added p50 ms",
                        "added p99 ms",
                        "within 7.5 ms",
                        "calls/s",
                        "late",
                        "busy",
                        "beyond quota",
                        "refused with room",
                        "reuse",
                        "conns at a backend",
                        "most",
                        "imbalance",
                        "list kB/s a gateway",
                        "module us a try"});
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"gateway-lab: what a fleet of gateways does, in simulated time and on loopback"};
  app.require_subcommand(1);
  std::string json;
  app.add_option("--json", json, "also write the report to this file, as JSON");

  FleetOptions spec;
  int seeds = 1;
  auto* fleet = app.add_subcommand("fleet", "real modules in simulated time before hollow backends");
  fleet->add_option("--gateways", spec.gateways)->check(CLI::Range(1, 2000))->capture_default_str();
  fleet->add_option("--backends", spec.backends)->check(CLI::Range(1, 10000))->capture_default_str();
  fleet->add_option("--tenants", spec.tenants.count)->check(CLI::Range(1, 100000))->capture_default_str();
  fleet->add_option("--zones", spec.zones)->check(CLI::Range(1, 64))->capture_default_str();
  fleet->add_option("--classes", spec.traffic.request_classes)
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  fleet->add_option("--rate", spec.traffic.requests_per_s, "first tries a second, of all clients")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  fleet->add_option("--seconds", spec.traffic.measured_s)
      ->check(CLI::Range(0.1, 600.0))
      ->capture_default_str();
  fleet
      ->add_option("--spread-low", spec.tenants.min_ingress_share,
                   "least share of the gateways a tenant comes through")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  fleet->add_option("--spread-high", spec.tenants.max_ingress_share)
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  fleet->add_option("--counter-rate", spec.counter.calls_per_s, "calls a second that the counter bears")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  fleet->add_option("--replaced", spec.restarts.backend_share, "share of the backends that start anew")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  fleet
      ->add_option("--silent-at", spec.counter_outage.start_s,
                   "when the counter falls silent; below 0: never")
      ->capture_default_str();
  fleet->add_option("--silent-for", spec.counter_outage.duration_s)->capture_default_str();
  fleet->add_option("--seed", spec.seed)->capture_default_str();
  fleet->add_option("--seeds", seeds, "so many seeds from the first")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();

  int cold_seeds = 200, threads = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
  std::string only;
  auto* cold = app.add_subcommand("cold", "work sent to cold backends by all gateways, over the bound");
  cold->add_option("--seeds", cold_seeds, "of each point")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  cold->add_option("--threads", threads)->check(CLI::Range(1, 64))->capture_default_str();
  cold->add_option("--only", only, "points whose names hold this text");

  gateway::lab::GatewayProcessOptions process;
  process.program = (std::filesystem::path(argv[0]).parent_path() / "api-gateway").string();
  auto* control = app.add_subcommand("control", "one real gateway on loopback before a hollow discovery");
  control->add_option("--gateway", process.program, "the program")->capture_default_str();
  control->add_option("--backends", process.backends)->check(CLI::Range(1, 10000))->capture_default_str();
  control->add_option("--changes", process.changes_per_s, "of the list, a second")
      ->check(CLI::Range(0.0, 1000.0))
      ->capture_default_str();
  control->add_option("--seconds", process.measured_s)->check(CLI::Range(0.1, 600.0))->capture_default_str();

  bool brief = false;
  auto* slopes = app.add_subcommand("slopes", "the points behind docs/CAPACITY.md, and its tables");
  slopes->add_option("--gateway", process.program, "the program")->capture_default_str();
  slopes->add_flag("--brief", brief, "fewer and shorter points");

  CLI11_PARSE(app, argc, argv);

  try {
    if (*control) {
      Report report =
          gateway::lab::MakeGatewayProcessReport({{process, gateway::lab::MeasureGatewayProcess(process)}});
      return Show(report, json) ? 0 : 1;
    }
    if (*slopes) {
      bool shown = true;
      int number = 0;
      for (const Report& report : gateway::lab::RunSlopes(process.program, brief)) {
        shown = Show(report, json.empty() ? "" : json + "." + std::to_string(++number)) && shown;
        std::fputs("\n", stdout);
      }
      return shown ? 0 : 1;
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gateway-lab: %s\n", error.what());
    return 1;
  }

  if (*fleet) {
    Report report = FleetReport("The fleet in simulated time");
    for (int i = 0; i < seeds; ++i) {
      FleetMetrics count = gateway::lab::SimulateFleet(spec);
      AddRow(&report, spec, count);
      ++spec.seed;
    }
    return Show(report, json) ? 0 : 1;
  }
  if (*cold) {
    auto points = gateway::lab::ColdPoints();
    std::erase_if(points, [&](const auto& point) { return point.name.find(only) == std::string::npos; });
    Report report("Work sent to a cold backend in its worst window, over N + 2 sqrt(N) + 2",
                  {"point", "seeds", "worst", "of it told", "most told in any", "mean of the seeds' worst",
                   "N there", "seed", "broken"});
    int broken = 0;
    for (const auto& r : gateway::lab::RunCold(points, cold_seeds, threads)) {
      report.AddRow({r.name, std::to_string(r.seeds), FormatDecimal(r.worst.load_ratio),
                     FormatDecimal(r.worst.notified_load_ratio), FormatDecimal(r.most_told),
                     FormatDecimal(r.mean_ratio), FormatDecimal(r.worst.work_allowed, 1),
                     std::to_string(r.worst_seed), std::to_string(r.broken)});
      broken += r.broken;
    }
    return Show(report, json) && broken == 0 ? 0 : 1;
  }
  return 0;
}
