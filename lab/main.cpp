// gateway-lab: what a fleet of gateways does, in simulated time and on loopback. One subcommand for each
// experiment. Option names and the fields of the JSON reports are read by scripts: they are stable.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "lab/capacity_experiment.h"
#include "lab/fleet_options.h"
#include "lab/fleet_report.h"
#include "lab/fleet_simulation.h"
#include "lab/gateway_process_experiment.h"
#include "lab/report.h"
#include "lab/slow_start_experiment.h"

namespace gateway::lab {
namespace {

// Prints the table, and writes the JSON where a file is named. False where that can't be written.
bool ShowReport(const Report& report, const std::string& json_path) {
  std::fputs(report.ToMarkdown().c_str(), stdout);
  if (json_path.empty()) return true;
  std::ofstream file(json_path);
  file << report.ToJson();
  if (file.flush()) return true;
  std::fprintf(stderr, "gateway-lab: cannot write %s\n", json_path.c_str());
  return false;
}

int ExitCode(bool success) { return success ? 0 : 1; }

struct FleetCommand {
  FleetOptions options;
  int seeds = 1;
};

void AddFleetSizeOptions(CLI::App* app, FleetOptions* options) {
  app->add_option("--gateways", options->gateways)->check(CLI::Range(1, 2000))->capture_default_str();
  app->add_option("--backends", options->backends)->check(CLI::Range(1, 10000))->capture_default_str();
  app->add_option("--tenants", options->tenants.count)->check(CLI::Range(1, 100000))->capture_default_str();
  app->add_option("--zones", options->zones)->check(CLI::Range(1, 64))->capture_default_str();
  app->add_option("--classes", options->traffic.request_classes)
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
}

void AddFleetTrafficOptions(CLI::App* app, FleetOptions* options) {
  app->add_option("--rate", options->traffic.requests_per_s, "requests a second of all clients, less retries")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  app->add_option("--seconds", options->traffic.measured_s)
      ->check(CLI::Range(0.1, 600.0))
      ->capture_default_str();
  app->add_option("--spread-low", options->tenants.min_ingress_share,
                  "least share of the gateways a tenant comes through")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  app->add_option("--spread-high", options->tenants.max_ingress_share)
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
}

void AddFleetFaultOptions(CLI::App* app, FleetOptions* options) {
  app->add_option("--counter-rate", options->counter.calls_per_s, "calls a second that the counter serves")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  app->add_option("--replaced", options->restarts.backend_share, "share of the backends that restart")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  app->add_option("--silent-at", options->counter_outage.start_s,
                  "when the counter falls silent; below 0: never")
      ->capture_default_str();
  app->add_option("--silent-for", options->counter_outage.duration_s)->capture_default_str();
}

CLI::App* AddFleetCommand(CLI::App* app, FleetCommand* command) {
  CLI::App* fleet =
      app->add_subcommand("fleet", "real decision modules in simulated time before simulated backends");
  AddFleetSizeOptions(fleet, &command->options);
  AddFleetTrafficOptions(fleet, &command->options);
  AddFleetFaultOptions(fleet, &command->options);
  fleet->add_option("--seed", command->options.seed)->capture_default_str();
  fleet->add_option("--seeds", command->seeds, "so many seeds from the first")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  return fleet;
}

int RunFleetCommand(const FleetCommand& command, const std::string& json_path) {
  std::vector<FleetRun> runs;
  FleetOptions options = command.options;
  for (int i = 0; i < command.seeds; ++i) {
    runs.push_back({options, SimulateFleet(options)});
    ++options.seed;
  }
  return ExitCode(ShowReport(MakeFleetReport(runs), json_path));
}

struct SlowStartCommand {
  int seeds = 200;
  int threads = static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  std::string name_part;
};

CLI::App* AddSlowStartCommand(CLI::App* app, SlowStartCommand* command) {
  CLI::App* cold =
      app->add_subcommand("cold", "work sent to warming-up backends by all gateways, over its limit");
  cold->add_option("--seeds", command->seeds, "of each scenario")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  cold->add_option("--threads", command->threads)->check(CLI::Range(1, 64))->capture_default_str();
  cold->add_option("--only", command->name_part, "scenarios whose names contain this text");
  return cold;
}

// Fails where a limit was violated.
int RunSlowStartCommand(const SlowStartCommand& command, const std::string& json_path) {
  std::vector<SlowStartScenario> scenarios = SlowStartScenarios();
  std::erase_if(scenarios, [&](const SlowStartScenario& scenario) {
    return scenario.name.find(command.name_part) == std::string::npos;
  });
  std::vector<SlowStartResult> results = RunSlowStartScenarios(scenarios, command.seeds, command.threads);
  bool shown = ShowReport(MakeSlowStartReport(results), json_path);
  bool violated = std::any_of(results.begin(), results.end(),
                              [](const SlowStartResult& result) { return result.violations > 0; });
  return ExitCode(shown && !violated);
}

CLI::App* AddGatewayProcessCommand(CLI::App* app, GatewayProcessOptions* options) {
  CLI::App* control = app->add_subcommand("control", "one real gateway on loopback before a discovery stub");
  control->add_option("--gateway", options->program, "the program")->capture_default_str();
  control->add_option("--backends", options->backends)->check(CLI::Range(1, 10000))->capture_default_str();
  control->add_option("--changes", options->changes_per_s, "of the list, a second")
      ->check(CLI::Range(0.0, 1000.0))
      ->capture_default_str();
  control->add_option("--seconds", options->measured_s)->check(CLI::Range(0.1, 600.0))->capture_default_str();
  return control;
}

int RunGatewayProcessCommand(const GatewayProcessOptions& options, const std::string& json_path) {
  Report report = MakeGatewayProcessReport({{options, MeasureGatewayProcess(options)}});
  return ExitCode(ShowReport(report, json_path));
}

struct CapacityCommand {
  std::string program;
  bool brief = false;
};

CLI::App* AddCapacityCommand(CLI::App* app, CapacityCommand* command) {
  CLI::App* slopes = app->add_subcommand("slopes", "the measurements behind docs/CAPACITY.md, as its tables");
  slopes->add_option("--gateway", command->program, "the program")->capture_default_str();
  slopes->add_flag("--brief", command->brief, "fewer and shorter runs");
  return slopes;
}

// Each table has a JSON file of its own, numbered from 1.
int RunCapacityCommand(const CapacityCommand& command, const std::string& json_path) {
  bool shown = true;
  int number = 0;
  for (const Report& report : RunCapacityExperiment(command.program, command.brief)) {
    ++number;
    std::string path = json_path.empty() ? "" : json_path + "." + std::to_string(number);
    shown = ShowReport(report, path) && shown;
    std::fputs("\n", stdout);
  }
  return ExitCode(shown);
}

int Main(int argc, char** argv) {
  CLI::App app{"gateway-lab: what a fleet of gateways does, in simulated time and on loopback"};
  app.require_subcommand(1);
  std::string json_path;
  app.add_option("--json", json_path, "also write the report to this file, as JSON");

  FleetCommand fleet_command;
  SlowStartCommand slow_start_command;
  GatewayProcessOptions process_options;
  CapacityCommand capacity_command;
  process_options.program = (std::filesystem::path(argv[0]).parent_path() / "api-gateway").string();
  capacity_command.program = process_options.program;
  CLI::App* fleet = AddFleetCommand(&app, &fleet_command);
  CLI::App* slow_start = AddSlowStartCommand(&app, &slow_start_command);
  CLI::App* process = AddGatewayProcessCommand(&app, &process_options);
  CLI::App* capacity = AddCapacityCommand(&app, &capacity_command);
  CLI11_PARSE(app, argc, argv);

  try {
    if (*fleet) return RunFleetCommand(fleet_command, json_path);
    if (*slow_start) return RunSlowStartCommand(slow_start_command, json_path);
    if (*process) return RunGatewayProcessCommand(process_options, json_path);
    if (*capacity) return RunCapacityCommand(capacity_command, json_path);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gateway-lab: %s\n", error.what());
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace gateway::lab

int main(int argc, char** argv) { return gateway::lab::Main(argc, argv); }
