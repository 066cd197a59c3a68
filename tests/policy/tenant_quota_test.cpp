// Tests of TenantQuota, a tenant's rate quota over the fleet: its windows, and the assumed usage of the other
// gateways.
#include <gtest/gtest.h>

#include <cmath>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeLargeFleetSettings;
using test_support::MakeSettings;
using test_support::PolicyFixture;
using test_support::RequestOptions;

// Before the counter's first reply, the gateway does not know the usage of the other two ingress gateways, so
// it must not admit more than its own part of the burst.
TEST(TenantQuota, AdmitsOwnPartOfTheBurstBeforeTheFirstCounterReply) {
  PolicyFixture gateway(MakeSettings());
  const int forwarded = gateway.ServeRequests(10, {.ingress_gateways = 3});
  EXPECT_GE(forwarded, 3);
  EXPECT_LE(forwarded, 4);
  ASSERT_EQ(gateway.counter_calls().size(), 1u);  // at most one call is pending for a key
}

TEST(TenantQuota, UsageOfOtherGatewaysIsSubtractedFromTheBucket) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  const CallCounter call = gateway.counter_calls().at(0);
  gateway.ReplyFromCounter(call.key, 9 + call.amount);
  EXPECT_FALSE(gateway.ServeRequest({.cost_units = 2, .ingress_gateways = 3}));
}

// The fleet uses up a tenant's quota just before a window ends. If the next window started with a full
// bucket, the tenant would get two bursts within milliseconds. The next window must start with what was left
// in the bucket.
TEST(TenantQuota, EmptyBucketCarriesOverToTheNextWindow) {
  PolicyFixture gateway(MakeSettings(), {.started_at_s = 104.98});
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  const CallCounter first_call = gateway.counter_calls().at(0);
  gateway.SetTime(104.99);
  gateway.ReplyFromCounter(first_call.key, 19 + first_call.amount);
  gateway.SetTime(105.01);
  EXPECT_LE(gateway.ServeRequests(10, {.ingress_gateways = 3}), 1);
  ASSERT_GT(gateway.counter_calls().size(), 0u);
  gateway.SetTime(130);
  gateway.ServeRequest({.ingress_gateways = 3});
  ASSERT_GT(gateway.counter_calls().size(), 1u);
  EXPECT_NE(gateway.LastCounterCall().key, first_call.key);  // each window has its own key
}

// The gateways together overspend a window, because each learns the usage of the others only from the
// counter. If the next window started with a full burst, the tenant would keep the excess. The excess must be
// subtracted from the next window, and so must the other gateways' usage in that window.
TEST(TenantQuota, WindowAfterAnOverspentOneStartsWithoutABurst) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  gateway.ReplyFromCounter(gateway.TakeCounterCalls().at(0).key, 2);  // includes one unit of another gateway
  gateway.SetTime(102);
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  ASSERT_EQ(gateway.counter_calls().size(), 1u);
  const uint64_t key = gateway.TakeCounterCalls().at(0).key;
  gateway.ReplyFromCounter(key, 32);  // the quota of this window was 20 units

  int forwarded = 0;
  for (int i = 0; i < 8; ++i) {
    gateway.SetTime(105.1 + 0.6 * i);
    forwarded += gateway.ServeRequest({.ingress_gateways = 3}) ? 1 : 0;
    // The other gateways have already used more than the ten units of the next window.
    for (const CallCounter& call : gateway.TakeCounterCalls()) gateway.ReplyFromCounter(call.key, 12);
  }
  EXPECT_LE(forwarded, 1);
}

// The counter loses its counts, because of a restart or an eviction, so the total of a key falls, although it
// can only rise within a window. If the gateway used the lower total, it would admit again what the other
// gateways have already used, and the fleet would exceed the quota. It must ignore the lower total and keep
// the previous one.
TEST(TenantQuota, LostCounterStateReturnsNoQuota) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  const CallCounter first_call = gateway.LastCounterCall();
  gateway.ReplyFromCounter(first_call.key, 8 + first_call.amount);
  const size_t calls_before = gateway.counter_calls().size();
  gateway.SetTime(101.5);
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  ASSERT_GT(gateway.counter_calls().size(), calls_before);
  const CallCounter second_call = gateway.LastCounterCall();
  gateway.ReplyFromCounter(second_call.key, second_call.amount);  // without the eight units of the others
  EXPECT_EQ(gateway.ServeRequests(10, {.ingress_gateways = 3}), 0);
}

// For 20 s, the tenant sends few requests, half of them through this gateway and half through another one.
// The counter's totals include both halves.
void ServeEqualPartsWithCounterReplies(PolicyFixture* gateway) {
  double total = 0;
  for (int i = 0; i < 40; ++i) {
    gateway->SetTime(100 + i * 0.5);
    ASSERT_TRUE(gateway->ServeRequest({.cost_units = 0.25, .ingress_gateways = 2}));
    for (const CallCounter& call : gateway->TakeCounterCalls()) {
      total += 2 * call.amount;
      gateway->ReplyFromCounter(call.key, total);
    }
    const bool window_ends = std::fmod(gateway->now_s(), 5) > 4.4;
    if (window_ends) total = 0;
  }
}

// The counter fails, and then the tenant requests far more than its quota at every gateway. Each gateway
// knows only that the others used little before. If each gateway used all of the remaining quota, the fleet
// would use the quota as many times as it has gateways. While the counter is silent, a gateway must stay
// within its part of the tenant's usage as of the last replies.
TEST(TenantQuota, StaysWithinItsLastKnownPartWhileTheCounterIsSilent) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_NO_FATAL_FAILURE(ServeEqualPartsWithCounterReplies(&gateway));

  const RequestOptions request{.cost_units = 0.5, .ingress_gateways = 2};
  double forwarded_units = 0;
  double requested_units = 0;
  for (int i = 0; i < 1200; ++i) {
    gateway.Advance(0.05);
    forwarded_units += gateway.ServeRequest(request) ? request.cost_units : 0;
    requested_units += request.cost_units;
    for (const CallCounter& call : gateway.TakeCounterCalls()) {
      gateway.FailCounterCall(call.key, CallResult::kRejected);
    }
  }
  // The expected value is about half of 2 units/s over 60 s, plus a burst.
  EXPECT_LT(forwarded_units, 60 * 2 * 0.62 + 10);
  EXPECT_GT(forwarded_units, 60 * 2 * 0.3);
  EXPECT_GT(requested_units, 500);
}

// A backend reports a lower cost than the request was charged. The difference must be returned to the bucket,
// and it must not be reported to the counter as a negative amount.
TEST(TenantQuota, ActualCostCorrectsTheBucketAndCounterTotalsOnlyRise) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 4}, /*actual_cost_units=*/1));
  gateway.ReplyFromCounter(gateway.LastCounterCall().key, 4);
  EXPECT_EQ(gateway.ServeRequests(20), 9);  // the burst of ten minus the actual cost of one unit
  for (const CallCounter& call : gateway.counter_calls()) EXPECT_GE(call.amount, 0);
}

// A request waits for the counter's reply, which shows that it is beyond the fleet's quota. Its units have
// already been added to the counter. If they were not subtracted again, they would block quota that the
// tenant has not used.
TEST(TenantQuota, RejectedRequestIsSubtractedFromTheCounter) {
  PolicyFixture gateway(MakeLargeFleetSettings());
  gateway.SendRequest({.cost_units = 2, .ingress_gateways = 100});
  const auto* call = gateway.Find<CallCounter>();
  ASSERT_NE(call, nullptr);
  gateway.Advance(0.004);
  gateway.ReplyFromCounter(call->key, 13);  // the others have used more than a burst
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Rejected());
  const auto* correction = gateway.Find<CallCounter>();
  ASSERT_NE(correction, nullptr);
  EXPECT_EQ(correction->amount, -2);
}

// Each of 100 gateways sees a tenant only rarely. The tenant overspent the last window, and the gateway that
// gets its first request in the next window does not know this. If it decided from the new key, which is
// empty, the tenant would get a full burst again. The gateway must first read the key of the last window and
// add the excess to the new key, where the other gateways see it.
TEST(TenantQuota, FirstRequestOfAWindowCarriesOverTheExcessOfTheLast) {
  PolicyFixture gateway(MakeLargeFleetSettings(), {.started_at_s = 100.5});  // early in a window of 5 s
  gateway.SendRequest({.cost_units = 2, .ingress_gateways = 100});
  const auto* call = gateway.Find<CallCounter>();
  ASSERT_NE(call, nullptr);
  const uint64_t key = call->key;
  gateway.Advance(0.004);
  gateway.ReplyFromCounter(key, 2);  // no other gateway has used the key
  EXPECT_FALSE(gateway.Forwarded());
  const auto* read_of_last_window = gateway.Find<CallCounter>();
  ASSERT_NE(read_of_last_window, nullptr);
  EXPECT_NE(read_of_last_window->key, key);
  EXPECT_EQ(read_of_last_window->amount, 0);
  gateway.Advance(0.004);
  gateway.ReplyFromCounter(read_of_last_window->key, 20);  // a burst plus all units that the rate added
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Rejected());
  const auto* correction = gateway.Find<CallCounter>();
  ASSERT_NE(correction, nullptr);
  EXPECT_EQ(correction->key, key);
  EXPECT_EQ(correction->amount, 8);  // ten units carried over, minus the two that were not forwarded
}

}  // namespace
}  // namespace gateway::policy
