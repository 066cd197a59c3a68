#include <gtest/gtest.h>

#include <string>

#include "lab/soak/schedule.h"

namespace gateway::lab::soak {
namespace {

std::string DescribeAll(uint64_t seed) {
  Random random(seed);
  Deployment deployment = DrawDeployment(&random);
  std::string text;
  for (const ScheduledEvent& event : DrawSchedule(deployment, 60, &random)) {
    text += std::to_string(event.at_s) + " " + Describe(event) + "\n";
  }
  return text;
}

// A break can be played again only if its seed brings the same events at the same moments.
TEST(SoakSchedule, IsTheSameForTheSameSeed) {
  EXPECT_EQ(DescribeAll(7), DescribeAll(7));
  EXPECT_NE(DescribeAll(7), DescribeAll(8));
}

// Failures of one part show where they cross those of another.
TEST(SoakSchedule, LetsEventsCross) {
  Random random(1);
  Deployment deployment = DrawDeployment(&random);
  std::vector<ScheduledEvent> schedule = DrawSchedule(deployment, 200, &random);
  int crossings = 0;
  for (size_t i = 1; i < schedule.size(); ++i) {
    crossings += schedule[i].at_s - schedule[i - 1].at_s < 0.3 ? 1 : 0;
  }
  EXPECT_GT(crossings, static_cast<int>(schedule.size()) / 3);
}

}  // namespace
}  // namespace gateway::lab::soak
