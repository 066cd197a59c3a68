// gateway-lab runs experiments with a fleet of gateways, in simulated time and on loopback. Each experiment
// has a subcommand. Scripts use the option names and the fields of the JSON reports, so these must not
// change.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
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
#include "lab/soak/soak.h"

namespace gateway::lab {
namespace {

// Prints the report as a table and writes it as JSON if `json_path` is not empty. Returns false if the file
// cannot be written.
bool PrintReport(const Report& report, const std::string& json_path) {
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
  app->add_option("--rate", options->traffic.requests_per_s,
                  "requests per second of all clients, excluding retries")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  app->add_option("--seconds", options->traffic.measured_s)
      ->check(CLI::Range(0.1, 600.0))
      ->capture_default_str();
  app->add_option("--spread-low", options->tenants.min_ingress_share,
                  "lowest share of the gateways that receive requests of a tenant")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  app->add_option("--spread-high", options->tenants.max_ingress_share)
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
}

void AddFleetFaultOptions(CLI::App* app, FleetOptions* options) {
  app->add_option("--counter-rate", options->counter.calls_per_s,
                  "calls per second that the counter can serve")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  app->add_option("--replaced", options->restarts.backend_share, "share of the backends that restart")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  app->add_option("--silent-at", options->counter_outage.starts_at_s,
                  "when the counter becomes silent, in seconds of the measured time; negative for never")
      ->capture_default_str();
  app->add_option("--silent-for", options->counter_outage.duration_s)->capture_default_str();
}

CLI::App* AddFleetCommand(CLI::App* app, FleetCommand* command) {
  CLI::App* fleet = app->add_subcommand(
      "fleet", "simulate real decision modules with simulated backends in simulated time");
  AddFleetSizeOptions(fleet, &command->options);
  AddFleetTrafficOptions(fleet, &command->options);
  AddFleetFaultOptions(fleet, &command->options);
  fleet->add_option("--seed", command->options.seed)->capture_default_str();
  fleet->add_option("--seeds", command->seeds, "number of consecutive seeds, beginning with --seed")
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
  return ExitCode(PrintReport(MakeFleetReport(runs), json_path));
}

struct SlowStartCommand {
  int seeds = 200;
  int threads = static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  std::string name_filter;
};

CLI::App* AddSlowStartCommand(CLI::App* app, SlowStartCommand* command) {
  CLI::App* slow_start = app->add_subcommand(
      "cold", "compare the work that all gateways send to warming-up backends with its limit");
  slow_start->add_option("--seeds", command->seeds, "number of seeds of each scenario")
      ->check(CLI::Range(1, 10000))
      ->capture_default_str();
  slow_start->add_option("--threads", command->threads)->check(CLI::Range(1, 64))->capture_default_str();
  slow_start->add_option("--only", command->name_filter, "run only scenarios whose names contain this text");
  return slow_start;
}

// Returns a failure if a limit was violated.
int RunSlowStartCommand(const SlowStartCommand& command, const std::string& json_path) {
  std::vector<SlowStartScenario> scenarios = SlowStartScenarios();
  std::erase_if(scenarios, [&](const SlowStartScenario& scenario) {
    return scenario.name.find(command.name_filter) == std::string::npos;
  });
  std::vector<SlowStartResult> results = RunSlowStartScenarios(scenarios, command.seeds, command.threads);
  bool printed = PrintReport(MakeSlowStartReport(results), json_path);
  bool violated = std::any_of(results.begin(), results.end(),
                              [](const SlowStartResult& result) { return result.violations > 0; });
  return ExitCode(printed && !violated);
}

CLI::App* AddGatewayProcessCommand(CLI::App* app, GatewayProcessOptions* options) {
  CLI::App* process =
      app->add_subcommand("control", "measure one real gateway on loopback with a discovery stub");
  process->add_option("--gateway", options->program, "path of the gateway program")->capture_default_str();
  process->add_option("--backends", options->backends)->check(CLI::Range(1, 10000))->capture_default_str();
  process->add_option("--changes", options->changes_per_s, "changes of the endpoint list per second")
      ->check(CLI::Range(0.0, 1000.0))
      ->capture_default_str();
  process->add_option("--seconds", options->measured_s)->check(CLI::Range(0.1, 600.0))->capture_default_str();
  return process;
}

int RunGatewayProcessCommand(const GatewayProcessOptions& options, const std::string& json_path) {
  Report report = MakeGatewayProcessReport({{options, MeasureGatewayProcess(options)}});
  return ExitCode(PrintReport(report, json_path));
}

struct CapacityCommand {
  std::string program;
  bool brief = false;
};

CLI::App* AddCapacityCommand(CLI::App* app, CapacityCommand* command) {
  CLI::App* capacity =
      app->add_subcommand("slopes", "make the measurements for docs/CAPACITY.md and print its tables");
  capacity->add_option("--gateway", command->program, "path of the gateway program")->capture_default_str();
  capacity->add_flag("--brief", command->brief, "make fewer and shorter runs");
  return capacity;
}

// Writes each table to its own JSON file, numbered from 1.
int RunCapacityCommand(const CapacityCommand& command, const std::string& json_path) {
  bool printed = true;
  int number = 0;
  for (const Report& report : RunCapacityExperiment(command.program, command.brief)) {
    ++number;
    std::string path = json_path.empty() ? "" : json_path + "." + std::to_string(number);
    printed = PrintReport(report, path) && printed;
    std::fputs("\n", stdout);
  }
  return ExitCode(printed);
}

struct SoakCommand {
  soak::SoakOptions options;
  std::string seeds = "1";           // a number, or the first and the last seed separated by a hyphen
  int max_described_violations = 5;  // maximum number of violations described per seed
};

CLI::App* AddSoakCommand(CLI::App* app, SoakCommand* command) {
  CLI::App* soak = app->add_subcommand(
      "soak", "run real gateways on loopback with seeded failures and check every rule for every request");
  soak->add_option("--gateway", command->options.program, "path of the gateway program")
      ->capture_default_str();
  soak->add_option("--seeds", command->seeds, "a number, or a range such as 1-50")->capture_default_str();
  soak->add_option("--seconds", command->options.duration_s, "duration of each seed")
      ->check(CLI::Range(6.0, 3600.0))
      ->capture_default_str();
  soak->add_option("--jobs", command->options.jobs, "number of seeds that run at the same time")
      ->check(CLI::Range(1, 64))
      ->capture_default_str();
  soak->add_option("--logs", command->options.log_directory,
                   "keep the logs of the gateways in this directory")
      ->check(CLI::ExistingDirectory);
  return soak;
}

// Returns false if `text` is neither a number nor a valid range.
bool ParseSeeds(const std::string& text, soak::SoakOptions* options) {
  char* end = nullptr;
  options->first_seed = std::strtoull(text.c_str(), &end, 10);
  uint64_t last = options->first_seed;
  if (*end == '-') last = std::strtoull(end + 1, &end, 10);
  constexpr uint64_t kMaxSeeds = 100000;
  if (text.empty() || *end != 0 || last < options->first_seed || last - options->first_seed >= kMaxSeeds) {
    return false;
  }
  options->seeds = static_cast<int>(last - options->first_seed) + 1;
  return true;
}

std::atomic<bool> soak_interrupted{false};

// Returns a failure if a rule was violated. Ctrl-C stops the soak after the seeds that are running and still
// prints the report.
int RunSoakCommand(SoakCommand command, const std::string& json_path) {
  if (!ParseSeeds(command.seeds, &command.options)) {
    std::fprintf(stderr, "gateway-lab: --seeds takes a number or a range such as 1-50, not \"%s\"\n",
                 command.seeds.c_str());
    return 1;
  }
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGINT, [](int) { soak_interrupted = true; });
  std::vector<soak::SoakResult> results;
  size_t violations = 0;
  soak::RunSoaks(
      command.options, [] { return soak_interrupted.load(); },
      [&](const soak::SoakResult& result) {
        std::printf("%s\n", soak::Summarize(result).c_str());
        size_t described =
            std::min(result.violations.size(), static_cast<size_t>(command.max_described_violations));
        for (size_t i = 0; i < described; ++i) {
          std::fputs(soak::DescribeViolation(command.options, result, result.violations[i]).c_str(), stdout);
        }
        std::fflush(stdout);
        violations += result.violations.size();
        results.push_back(result);
      });
  std::printf("%zu of %d seeds played, %zu breaks\n", results.size(), command.options.seeds, violations);
  if (!json_path.empty()) std::ofstream(json_path) << soak::ToJson(results);
  return ExitCode(violations == 0);
}

int Main(int argc, char** argv) {
  CLI::App app{"gateway-lab: experiments with a fleet of gateways, in simulated time and on loopback"};
  app.require_subcommand(1);
  std::string json_path;
  app.add_option("--json", json_path, "also write the report to this file, as JSON");

  FleetCommand fleet_command;
  SlowStartCommand slow_start_command;
  GatewayProcessOptions process_options;
  CapacityCommand capacity_command;
  SoakCommand soak_command;
  process_options.program = (std::filesystem::path(argv[0]).parent_path() / "api-gateway").string();
  capacity_command.program = process_options.program;
  soak_command.options.program = process_options.program;
  CLI::App* fleet = AddFleetCommand(&app, &fleet_command);
  CLI::App* slow_start = AddSlowStartCommand(&app, &slow_start_command);
  CLI::App* process = AddGatewayProcessCommand(&app, &process_options);
  CLI::App* capacity = AddCapacityCommand(&app, &capacity_command);
  CLI::App* soak = AddSoakCommand(&app, &soak_command);
  CLI11_PARSE(app, argc, argv);

  try {
    if (*fleet) return RunFleetCommand(fleet_command, json_path);
    if (*slow_start) return RunSlowStartCommand(slow_start_command, json_path);
    if (*process) return RunGatewayProcessCommand(process_options, json_path);
    if (*capacity) return RunCapacityCommand(capacity_command, json_path);
    if (*soak) return RunSoakCommand(soak_command, json_path);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gateway-lab: %s\n", error.what());
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace gateway::lab

int main(int argc, char** argv) { return gateway::lab::Main(argc, argv); }
