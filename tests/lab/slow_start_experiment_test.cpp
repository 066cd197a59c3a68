#include "lab/slow_start_experiment.h"

#include <gtest/gtest.h>

namespace gateway::lab {
namespace {

// Guards against the overload of a restarted backend. All gateways send requests to it, and none of them sees
// the requests of the others. If each gateway used the full capacity of the backend, they would overload it
// together before it has warmed up. The test runs two seeds of each scenario; `gateway-lab cold` runs
// hundreds.
TEST(SlowStartExperiment, AllGatewaysTogetherDoNotOverloadAWarmingUpBackend) {
  constexpr int kSeeds = 2;
  constexpr int kThreads = 2;
  for (const SlowStartResult& result : RunSlowStartScenarios(SlowStartScenarios(), kSeeds, kThreads)) {
    EXPECT_EQ(result.violations, 0) << result.name;
    EXPECT_LT(result.max_notified_load_ratio, 1) << result.name;
    EXPECT_GT(result.worst_window.work_sent, 0) << result.name << ": no work was sent to the backend";
  }
}

}  // namespace
}  // namespace gateway::lab
