// Checks whether all gateways together overload backends that are warming up, in scenarios in which that is
// likely.
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

// Returns scenarios for fleets of 3 to 300 gateways and backends of 1 to 8 cores. For each fleet there is a
// scenario with even traffic. Further scenarios add, one after another: several request classes; uneven
// traffic; restarts in a traffic burst after a quiet phase; and several restarts of each backend, of which
// some gateways are notified late.
std::vector<SlowStartScenario> SlowStartScenarios();

// The result of one scenario over all its seeds.
struct SlowStartResult {
  std::string name;
  int seeds = 0;
  int violations = 0;                  // seeds whose worst window violates the limit
  SlowStartWindow worst_window;        // the worst of all seeds
  uint64_t worst_seed = 0;             // seed of that window
  double mean_load_ratio = 0;          // mean over the worst windows of the seeds
  double max_notified_load_ratio = 0;  // highest value in any window of any seed
};

// Runs each scenario with the seeds 1 to `seeds` on `threads` threads.
std::vector<SlowStartResult> RunSlowStartScenarios(const std::vector<SlowStartScenario>& scenarios, int seeds,
                                                   int threads);

Report MakeSlowStartReport(const std::vector<SlowStartResult>& results);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SLOW_START_EXPERIMENT_H_
