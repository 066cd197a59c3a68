// Reports on simulated fleets. Scripts read the column titles, so the titles must not change.
#ifndef GATEWAY_LAB_FLEET_REPORT_H_
#define GATEWAY_LAB_FLEET_REPORT_H_

#include <vector>

#include "lab/fleet_metrics.h"
#include "lab/fleet_options.h"
#include "lab/report.h"

namespace gateway::lab {

// A run and its options, which make one row of a report.
struct FleetRun {
  FleetOptions options;
  FleetMetrics metrics;
};

// Makes a report on runs that differ in their seeds.
Report MakeFleetReport(const std::vector<FleetRun>& runs);

// Makes a report on runs that differ in the size of the fleet.
Report MakeFleetSizeReport(const std::vector<FleetRun>& runs);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_REPORT_H_
