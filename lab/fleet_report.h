// Tables of simulated fleets. The columns' titles are read by scripts: they are stable.
#ifndef GATEWAY_LAB_FLEET_REPORT_H_
#define GATEWAY_LAB_FLEET_REPORT_H_

#include <vector>

#include "lab/fleet_metrics.h"
#include "lab/fleet_options.h"
#include "lab/report.h"

namespace gateway::lab {

// One run with its options, as a row of a report.
struct FleetRun {
  FleetOptions options;
  FleetMetrics metrics;
};

// Runs that differ in their seeds.
Report MakeFleetReport(const std::vector<FleetRun>& runs);

// Runs that differ in the size of the fleet.
Report MakeFleetSizeReport(const std::vector<FleetRun>& runs);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_REPORT_H_
