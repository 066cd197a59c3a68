// Tests of ConcurrencyQuota, the cap on a tenant's attempts in flight over all gateways.
#include <gtest/gtest.h>

#include <variant>
#include <vector>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeLargeFleetSettings;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// Changes the plan to a cap of two concurrent attempts without a rate quota.
Settings WithConcurrencyQuota(Settings settings) {
  settings.plans[0].rate_units_per_s = 0;
  settings.plans[0].burst_units = 0;
  settings.plans[0].max_concurrent_attempts = 2;
  return settings;
}

TEST(ConcurrencyQuota, CountsThisGatewaysAttemptsInFlight) {
  PolicyFixture gateway(WithConcurrencyQuota(MakeSettings()));
  const uint32_t first = gateway.SendRequest();
  ASSERT_TRUE(gateway.Forwarded());
  gateway.SendRequest();
  ASSERT_TRUE(gateway.Forwarded());
  gateway.SendRequest();
  EXPECT_FALSE(gateway.Forwarded());
  gateway.CompleteAttempt(first, CallResult::kOk);
  gateway.SendRequest();
  EXPECT_TRUE(gateway.Forwarded());
}

// Another gateway has an attempt of the tenant in flight and then stops reporting, because it crashed or its
// call was lost. If its last count were kept forever, the tenant could never use its full cap again. The
// count for other gateways must expire within seconds.
TEST(ConcurrencyQuota, AttemptsOfOtherGatewaysAreReadFromTheCounterAndExpire) {
  PolicyFixture gateway(WithConcurrencyQuota(MakeSettings()));
  const uint32_t first = gateway.SendRequest({.ingress_gateways = 2});
  const auto* call = gateway.Find<CallCounter>();
  ASSERT_NE(call, nullptr);
  EXPECT_EQ(call->amount, 1);
  const uint64_t key = call->key;
  gateway.ReplyFromCounter(key, 2);  // this gateway's attempt and one of another gateway
  gateway.SendRequest({.ingress_gateways = 2});
  EXPECT_FALSE(gateway.Forwarded());
  gateway.CompleteAttempt(first, CallResult::kOk);
  const auto* decrement = gateway.Find<CallCounter>();
  ASSERT_NE(decrement, nullptr);
  EXPECT_EQ(decrement->amount, -1);
  gateway.ReplyFromCounter(key, 2);
  gateway.SendRequest({.ingress_gateways = 2});
  EXPECT_FALSE(gateway.Forwarded());
  gateway.Advance(3);
  gateway.SendRequest({.ingress_gateways = 2});
  EXPECT_TRUE(gateway.Forwarded());
}

// A request waits for the counter's total of attempts in flight, which includes the request itself. It must
// be forwarded only if that total is within the cap of two.
TEST(ConcurrencyQuota, WaitingRequestIsDecidedByTheCounterReply) {
  for (double total : {2.0, 3.0}) {
    PolicyFixture gateway(WithConcurrencyQuota(MakeLargeFleetSettings()));
    gateway.SendRequest({.ingress_gateways = 100});
    EXPECT_FALSE(gateway.Forwarded());
    const auto* call = gateway.Find<CallCounter>();
    ASSERT_NE(call, nullptr);
    gateway.Advance(0.004);
    gateway.ReplyFromCounter(call->key, total);
    EXPECT_EQ(gateway.Forwarded(), total <= 2);
  }
}

// The plan has a cap on concurrent attempts as well as a rate quota, and other gateways have attempts of the
// tenant in flight. If the request waited only for the usage total, it would be forwarded beyond the cap,
// which is penalized like usage beyond the quota. The request must be decided from both totals.
TEST(ConcurrencyQuota, WaitingRequestIsDecidedByBothQuotasOfItsPlan) {
  Settings settings = MakeLargeFleetSettings();
  settings.plans[0].max_concurrent_attempts = 2;
  for (double total_attempts : {2.0, 3.0}) {  // including the waiting request
    PolicyFixture gateway(settings);
    gateway.SendRequest({.cost_units = 1, .ingress_gateways = 100});
    EXPECT_FALSE(gateway.Forwarded());
    std::vector<CallCounter> calls;
    for (const Action& action : gateway.actions()) {
      if (const auto* call = std::get_if<CallCounter>(&action)) calls.push_back(*call);
    }
    ASSERT_EQ(calls.size(), 2u);
    EXPECT_EQ(calls[0].amount, 1) << "the first call must be for the cap on concurrent attempts";
    gateway.Advance(0.004);
    gateway.ReplyFromCounter(calls[0].key, total_attempts);
    EXPECT_FALSE(gateway.Forwarded() || gateway.Rejected())
        << "decided before the counter replied with the usage total";
    gateway.ReplyFromCounter(calls[1].key, 5);
    EXPECT_EQ(gateway.Forwarded(), total_attempts <= 2);
    EXPECT_EQ(gateway.Rejected(), total_attempts > 2);
  }
}

}  // namespace
}  // namespace gateway::policy
