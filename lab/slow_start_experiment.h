// Whether warming-up backends are overloaded by the sum of all gateways, over scenarios that are hard for
// them.
#ifndef GATEWAY_LAB_SLOW_START_EXPERIMENT_H_
#define GATEWAY_LAB_SLOW_START_EXPERIMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/fleet_options.h"
#include "lab/report.h"
#include "lab/slow_start_monitor.h"

namespace gateway::lab {

struct SlowStartScenario {
  std::string name;
  FleetOptions options;
};

// Fleets of 3 to 300 gateways and backends of 1 to 8 cores, each with: even traffic; several request classes;
// uneven traffic; a restart in a burst, when the gateways were quiet; several restarts, of which some
// gateways are notified late.
std::vector<SlowStartScenario> SlowStartScenarios();

// Of one scenario, over all its seeds.
struct SlowStartResult {
  std::string name;
  int seeds = 0;
  int violations = 0;                  // seeds whose worst window violates the limit
  SlowStartWindow worst_window;        // of all seeds
  uint64_t worst_seed = 0;             // of that window
  double mean_load_ratio = 0;          // of the seeds' worst windows
  double max_notified_load_ratio = 0;  // of all windows of all seeds
};

// Runs each scenario with the seeds 1 to `seeds`, on this many threads.
std::vector<SlowStartResult> RunSlowStartScenarios(const std::vector<SlowStartScenario>& scenarios, int seeds,
                                                   int threads);

Report MakeSlowStartReport(const std::vector<SlowStartResult>& results);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SLOW_START_EXPERIMENT_H_
