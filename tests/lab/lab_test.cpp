// The lab's arithmetic against closed forms, and the proofs that it plays in a form short enough for each
// run.
#include <gtest/gtest.h>

#include "lab/cold.h"

namespace gateway::lab {
namespace {

// Two seeds of each corner; `gateway-lab cold` plays hundreds.
TEST(Cold, NoBackendIsPushedOverByTheSumOfAllGateways) {
  for (const ColdResult& result : RunCold(ColdPoints(), 2, 2)) {
    EXPECT_EQ(result.broken, 0) << result.name;
    EXPECT_LT(result.most_told, 1) << result.name;
    EXPECT_GT(result.worst.work_sent, 0) << result.name << ": the backend was sent something";
  }
}

}  // namespace
}  // namespace gateway::lab
