// A tenant's bucket of cost units and its ceiling: refill and charge.
#include <gtest/gtest.h>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeSettings;
using test_support::PolicyFixture;

TEST(TokenBucket, HoldsTheBurstAndRefillsAtTheRate) {
  Settings settings = MakeSettings();
  settings.counter_enabled = false;
  PolicyFixture gateway(settings);
  gateway.SetTime(100);  // the start of a window
  EXPECT_EQ(gateway.ServeRequests(30), 10);
  gateway.SetTime(102.001);  // two seconds at two units a second
  EXPECT_EQ(gateway.ServeRequests(30), 4);
}

TEST(TokenBucket, RejectionCarriesTheLongestRetryAfter) {
  PolicyFixture gateway(MakeSettings());
  while (gateway.ServeRequest()) {
  }
  ASSERT_TRUE(gateway.Rejected());
  EXPECT_EQ(gateway.Find<RejectRequest>()->retry_after_s, 2);
}

// A gateway restarts, or the counter loses its counts: nothing says any more what a tenant has spent. With a
// full ceiling at the start, or one that the counter can refill, the tenant would pass the ceiling of its
// plan after each such failure. So each gateway holds its part of the ceiling by itself, and starts with
// none.
TEST(TokenBucket, CeilingIsSplitOverTheIngressGatewaysAndStartsEmpty) {
  Settings settings = MakeSettings();
  settings.plans[0].rate_units_per_s = 1000;
  settings.plans[0].burst_units = 1000;
  settings.plans[0].ceiling_rate_units_per_s = 30;
  settings.plans[0].ceiling_burst_units = 60;
  settings.plans[0].ceiling_slack_units = 6;
  PolicyFixture gateway(settings);
  EXPECT_FALSE(gateway.ServeRequest({.ingress_gateways = 3}));
  gateway.SetTime(101.001);
  EXPECT_EQ(gateway.ServeRequests(200, {.ingress_gateways = 3}), 10);

  gateway.SetTime(200);
  int forwarded = 0;
  for (int i = 0; i < 200; ++i) {
    forwarded += gateway.ServeRequest({.ingress_gateways = 3}) ? 1 : 0;
    // A counter that has no usage of this tenant changes nothing.
    for (const CallCounter& call : gateway.TakeCounterCalls()) gateway.ReplyFromCounter(call.key, 0);
  }
  EXPECT_EQ(forwarded, 21);  // a third of the burst and of nearly all the slack
}

}  // namespace
}  // namespace gateway::policy
