#include "lab/gateway_process_experiment.h"

#include <gtest/gtest.h>

namespace gateway::lab {
namespace {

// The real gateway receives the full list once and then the changes from the watch of a discovery stub.
TEST(GatewayProcessExperiment, GatewayReceivesTheFullListAndItsChanges) {
  GatewayProcessOptions options;
  options.program = API_GATEWAY;
  options.backends = 50;
  options.changes_per_s = 50;
  options.measured_s = 0.5;
  GatewayProcessMetrics metrics = MeasureGatewayProcess(options);
  EXPECT_GT(metrics.full_list_bytes, 50 * 100);
  EXPECT_GT(metrics.discovery_bytes_per_s, 0);
  EXPECT_GT(metrics.max_resident_mb, 1);
  options.program = "/does/not/exist";
  EXPECT_THROW(MeasureGatewayProcess(options), GatewayProcessError);
}

}  // namespace
}  // namespace gateway::lab
