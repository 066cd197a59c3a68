// The lab's arithmetic against closed forms, and the proofs that it plays in a form short enough for each
// run.
#include <gtest/gtest.h>

#include <stdexcept>

#include "lab/cold.h"
#include "lab/control.h"

namespace gateway::lab {
namespace {

// The real program follows the hollow discovery: the whole list once, then what changes.
TEST(Control, OneGatewayLearnsTheListAndItsChanges) {
  ControlSpec spec;
  spec.gateway = API_GATEWAY;
  spec.backends = 50;
  spec.changes_per_s = 50;
  spec.seconds = 0.5;
  ControlCount count = RunControl(spec);
  EXPECT_GT(count.list_bytes, 50 * 100);
  EXPECT_GT(count.bytes_per_s, 0);
  EXPECT_GT(count.resident_mb, 1);
  spec.gateway = "/does/not/exist";
  EXPECT_THROW(RunControl(spec), std::runtime_error);
}

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
