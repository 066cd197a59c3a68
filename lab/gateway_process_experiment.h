// What an endpoint list and its changes cost one real gateway process, on loopback before a discovery stub.
#ifndef GATEWAY_LAB_GATEWAY_PROCESS_EXPERIMENT_H_
#define GATEWAY_LAB_GATEWAY_PROCESS_EXPERIMENT_H_

#include <stdexcept>
#include <string>
#include <vector>

#include "lab/report.h"

namespace gateway::lab {

struct GatewayProcessOptions {
  std::string program;  // path of the gateway
  int backends = 20;
  double changes_per_s = 0;  // restarts of one backend each, sent to a watch
  double measured_s = 4;     // after the gateway is ready
};

struct GatewayProcessMetrics {
  double ready_s = 0;              // from writing its configuration to the first 200 of GET /-/ready
  double startup_processor_s = 0;  // processor time until then
  double processor_share = 0;      // of a core, in the measured time
  double max_resident_mb = 0;
  double full_list_bytes = 0;
  double discovery_bytes_per_s = 0;  // from discovery, in the measured time
  double discovery_calls_per_s = 0;  // to discovery, in the measured time
};

// The gateway could not be started, was not ready in time, or ended by itself. The text says which.
class GatewayProcessError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Takes the measured time and the time until the gateway is ready. Throws GatewayProcessError, and
// std::runtime_error where the machine has no port or file left.
GatewayProcessMetrics MeasureGatewayProcess(const GatewayProcessOptions& options);

// One run with its options, as a row of a report.
struct GatewayProcessRun {
  GatewayProcessOptions options;
  GatewayProcessMetrics metrics;
};
Report MakeGatewayProcessReport(const std::vector<GatewayProcessRun>& runs);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GATEWAY_PROCESS_EXPERIMENT_H_
