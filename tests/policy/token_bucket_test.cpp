// Tests of TokenBucket as the bucket of a tenant's quota and of its ceiling: refill and charge.
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
  gateway.SetTime(102.001);  // 2 s at 2 units/s
  EXPECT_EQ(gateway.ServeRequests(30), 4);
}

TEST(TokenBucket, RejectionCarriesTheMaximumRetryAfter) {
  PolicyFixture gateway(MakeSettings());
  while (gateway.ServeRequest()) {
  }
  ASSERT_TRUE(gateway.Rejected());
  EXPECT_EQ(gateway.Find<RejectRequest>()->retry_after_s, 2);
}

// After a restart of a gateway, or if the counter loses its counts, a tenant's previous usage is unknown. If
// the ceiling started full or could be refilled from the counter's totals, the tenant would exceed the
// ceiling of its plan after each such failure. Each gateway must therefore enforce its own part of the
// ceiling locally and start with an empty bucket.
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
    // Replies without any usage of this tenant must not change the result.
    for (const CallCounter& call : gateway.TakeCounterCalls()) gateway.ReplyFromCounter(call.key, 0);
  }
  EXPECT_EQ(forwarded, 21);  // a third of the burst and of almost all of the slack
}

}  // namespace
}  // namespace gateway::policy
