// The measurements behind docs/CAPACITY.md, and the lines fitted through them.
#ifndef GATEWAY_LAB_CAPACITY_EXPERIMENT_H_
#define GATEWAY_LAB_CAPACITY_EXPERIMENT_H_

#include <string>
#include <vector>

#include "lab/report.h"

namespace gateway::lab {

// What the decision module costs one gateway.
struct PolicyCost {
  int backends = 0;
  double decision_us = 0;   // processor time of a request
  double full_list_ms = 0;  // processor time of a full endpoint list
  double memory_bytes = 0;  // that a full list takes
};

// Decides on requests of one gateway that has so many backends, in a loop. Takes up to a few seconds.
PolicyCost MeasurePolicyCost(int backends);

// Runs all experiments one after another, and returns the tables of the page in their order. `program`: path
// of the real gateway. `brief`: fewer and shorter runs. Throws as MeasureGatewayProcess does.
std::vector<Report> RunCapacityExperiment(const std::string& program, bool brief);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CAPACITY_EXPERIMENT_H_
