// The points behind docs/CAPACITY.md, run one after another, and the lines fitted through them.
#ifndef GATEWAY_LAB_SLOPES_H_
#define GATEWAY_LAB_SLOPES_H_

#include <string>
#include <vector>

#include "lab/report.h"

namespace gateway::lab {

// Processor time of the module: a request's decision, and a whole list.
struct ModuleCost {
  double decision_us = 0, list_ms = 0, memory_bytes = 0;
};
ModuleCost MeasureModule(int backends);

// All tables of the page. `gateway`: the real program, for `control`. `brief`: fewer and shorter points.
std::vector<Report> RunSlopes(const std::string& gateway, bool brief);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SLOPES_H_
