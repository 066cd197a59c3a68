// Measures the resources that one real gateway process uses for an endpoint list and its changes. The gateway
// runs on loopback and is connected to a discovery stub.
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
  double changes_per_s = 0;  // restarts of one backend each, which discovery sends to a watch
  double measured_s = 4;     // duration of the measurement, which begins once the gateway is ready
};

struct GatewayProcessMetrics {
  double ready_s = 0;              // from writing the configuration to the first 200 of GET /-/ready
  double startup_processor_s = 0;  // processor time until the gateway is ready
  double processor_share = 0;      // share of a core that is used in the measured time
  double max_resident_mb = 0;
  double full_list_bytes = 0;
  double discovery_bytes_per_s = 0;  // bytes that discovery sends per second in the measured time
  double discovery_calls_per_s = 0;  // requests to discovery per second in the measured time
};

// Reports that the gateway could not be started, was not ready in time, or exited unexpectedly. The message
// names the cause.
class GatewayProcessError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Starts a gateway, waits until it is ready, and measures it for `options.measured_s`. Throws
// GatewayProcessError, or another std::runtime_error if no port or no temporary file is available.
GatewayProcessMetrics MeasureGatewayProcess(const GatewayProcessOptions& options);

// A run and its options, which make one row of a report.
struct GatewayProcessRun {
  GatewayProcessOptions options;
  GatewayProcessMetrics metrics;
};
Report MakeGatewayProcessReport(const std::vector<GatewayProcessRun>& runs);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_GATEWAY_PROCESS_EXPERIMENT_H_
