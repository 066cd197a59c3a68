#include "lab/slow_start_experiment.h"

#include <gtest/gtest.h>

namespace gateway::lab {
namespace {

// A backend that restarts is sent work by all gateways, of which none sees what the others send. If each took
// the backend's capacity for its own, their sum would overload it before it has warmed up. Two seeds of each
// scenario; `gateway-lab cold` runs hundreds.
TEST(SlowStartExperiment, AllGatewaysTogetherDoNotOverloadAWarmingUpBackend) {
  constexpr int kSeeds = 2;
  constexpr int kThreads = 2;
  for (const SlowStartResult& result : RunSlowStartScenarios(SlowStartScenarios(), kSeeds, kThreads)) {
    EXPECT_EQ(result.violations, 0) << result.name;
    EXPECT_LT(result.max_notified_load_ratio, 1) << result.name;
    EXPECT_GT(result.worst_window.work_sent, 0) << result.name << ": the backend was sent something";
  }
}

}  // namespace
}  // namespace gateway::lab
