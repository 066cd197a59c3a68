// The proof that cold backends are not pushed over by the sum of all gateways, corner by corner.
#ifndef GATEWAY_LAB_COLD_H_
#define GATEWAY_LAB_COLD_H_

#include <string>
#include <vector>

#include "lab/fleet_simulation.h"

namespace gateway::lab {

struct ColdPoint {
  std::string name;
  FleetOptions spec;
};
// The corners: fleets of 3 to 300 gateways; backends of 1 to 8 cores; several classes; uneven traffic; a
// restart in a burst; gateways that were quiet; lists that reach some late; several restarts.
std::vector<ColdPoint> ColdPoints();

struct ColdResult {
  std::string name;
  int seeds = 0, broken = 0;
  SlowStartWindow worst;  // over all seeds
  double mean_ratio = 0;  // of the worst windows of the seeds
  double most_told = 0;   // of all windows of all seeds
  uint64_t worst_seed = 0;
};
// Plays each point on seeds 1 to `seeds`, on so many threads.
std::vector<ColdResult> RunCold(const std::vector<ColdPoint>& points, int seeds, int threads);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_COLD_H_
