// Makes the measurements for docs/CAPACITY.md and fits lines to them.
#ifndef GATEWAY_LAB_CAPACITY_EXPERIMENT_H_
#define GATEWAY_LAB_CAPACITY_EXPERIMENT_H_

#include <string>
#include <vector>

#include "lab/report.h"

namespace gateway::lab {

// The resources that the decision module of one gateway uses.
struct PolicyCost {
  int backends = 0;
  double decision_us = 0;   // processor time per request
  double full_list_ms = 0;  // processor time for a full endpoint list
  double memory_bytes = 0;  // heap memory that a full endpoint list takes
};

// Measures the decision module of one gateway that has `backends` backends. Takes up to a few seconds.
PolicyCost MeasurePolicyCost(int backends);

// Runs all experiments one after another and returns the tables in the order of docs/CAPACITY.md. `program`
// is the path of the real gateway; `brief` makes fewer and shorter runs. Throws the exceptions of
// MeasureGatewayProcess.
std::vector<Report> RunCapacityExperiment(const std::string& program, bool brief);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CAPACITY_EXPERIMENT_H_
