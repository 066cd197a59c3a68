// A tenant's quota over the fleet: its window, and what the other gateways are taken to use of it.
#include <gtest/gtest.h>

#include <cmath>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeLargeFleetSettings;
using test_support::MakeSettings;
using test_support::PolicyFixture;
using test_support::RequestOptions;

// Until the first reply, a gateway does not know what the other two ingress gateways have used.
TEST(TenantQuota, AdmitsItsPartOfTheBurstBeforeTheFirstCounterReply) {
  PolicyFixture gateway(MakeSettings());
  const int forwarded = gateway.ServeRequests(10, {.ingress_gateways = 3});
  EXPECT_GE(forwarded, 3);
  EXPECT_LE(forwarded, 4);
  ASSERT_EQ(gateway.counter_calls().size(), 1u);  // one call in flight for a key
}

TEST(TenantQuota, UsageOfOtherGatewaysIsTakenFromTheBucket) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  const CallCounter call = gateway.counter_calls().at(0);
  gateway.ReplyFromCounter(call.key, 9 + call.amount);
  EXPECT_FALSE(gateway.ServeRequest({.cost_units = 2, .ingress_gateways = 3}));
}

// The fleet uses up a tenant's quota just before a window ends. If the next window began with a full bucket,
// the tenant would get two bursts within milliseconds. What was left in the bucket is carried over instead.
TEST(TenantQuota, EmptyBucketIsCarriedIntoTheNextWindow) {
  PolicyFixture gateway(MakeSettings(), {.start_s = 104.98});
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
  EXPECT_NE(gateway.LastCounterCall().key, first_call.key);  // each window has a key of its own
}

// The gateways together overspend a window: they learn of each other's usage only from the counter. If the
// next window began afresh, the tenant would keep the excess. It is taken from the next window, and so is
// what the other gateways use there.
TEST(TenantQuota, WindowAfterAnOverspentOneStartsWithoutABurst) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  gateway.ReplyFromCounter(gateway.TakeCounterCalls().at(0).key, 2);  // another gateway has forwarded one
  gateway.SetTime(102);
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  ASSERT_EQ(gateway.counter_calls().size(), 1u);
  const uint64_t key = gateway.TakeCounterCalls().at(0).key;
  gateway.ReplyFromCounter(key, 32);  // the quota of this window was 20 units

  int forwarded = 0;
  for (int i = 0; i < 8; ++i) {
    gateway.SetTime(105.1 + 0.6 * i);
    forwarded += gateway.ServeRequest({.ingress_gateways = 3}) ? 1 : 0;
    // The others have already passed the ten units of the next window.
    for (const CallCounter& call : gateway.TakeCounterCalls()) gateway.ReplyFromCounter(call.key, 12);
  }
  EXPECT_LE(forwarded, 1);
}

// The counter loses its counts, by a restart or an eviction: the total of a key falls within a window, where
// it can only rise. Believed, the reply would hand out again what the other gateways have already used, and
// the fleet would pass the quota. A total that falls is not believed, and what was known before stands.
TEST(TenantQuota, CounterThatLostItsCountsGivesNothingBack) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  const CallCounter first_call = gateway.LastCounterCall();
  gateway.ReplyFromCounter(first_call.key, 8 + first_call.amount);
  const size_t calls_before = gateway.counter_calls().size();
  gateway.SetTime(101.5);
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 3}));
  ASSERT_GT(gateway.counter_calls().size(), calls_before);
  const CallCounter second_call = gateway.LastCounterCall();
  gateway.ReplyFromCounter(second_call.key, second_call.amount);  // the eight units of the others are gone
  EXPECT_EQ(gateway.ServeRequests(10, {.ingress_gateways = 3}), 0);
}

// The tenant comes in through two gateways and uses little, half of it through each; the counter says so for
// 20 s.
void ServeEqualPartsWithTheCounter(PolicyFixture* gateway) {
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

// The counter stops answering, and then the tenant asks every gateway for far more than its quota. Each
// gateway knows only that the others used little before: if each took the rest of the quota for itself, the
// fleet would pass the quota as many times as it has gateways. While the counter is silent, a gateway keeps
// to the part of the tenant's usage that it had in the last replies.
TEST(TenantQuota, KeepsToItsLastKnownPartWhileTheCounterIsSilent) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_NO_FATAL_FAILURE(ServeEqualPartsWithTheCounter(&gateway));

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
  // About half of two units a second over 60 s, and a burst.
  EXPECT_LT(forwarded_units, 60 * 2 * 0.62 + 10);
  EXPECT_GT(forwarded_units, 60 * 2 * 0.3);
  EXPECT_GT(requested_units, 500);
}

TEST(TenantQuota, ActualCostCorrectsTheBucketAndCounterTotalsOnlyRise) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 4}, /*actual_cost_units=*/1));
  gateway.ReplyFromCounter(gateway.LastCounterCall().key, 4);
  EXPECT_EQ(gateway.ServeRequests(20), 9);  // the burst of ten, less the one unit that it really cost
  for (const CallCounter& call : gateway.counter_calls()) EXPECT_GE(call.amount, 0);
}

// A request waits for the counter's reply and turns out to be beyond the fleet's quota. Its units are already
// in the counter; left there, they would keep the tenant from quota that it has not used.
TEST(TenantQuota, RequestBeyondTheQuotaIsRejectedAndTakenOffTheCounter) {
  PolicyFixture gateway(MakeLargeFleetSettings());
  gateway.SendRequest({.cost_units = 2, .ingress_gateways = 100});
  const auto* call = gateway.Find<CallCounter>();
  ASSERT_NE(call, nullptr);
  gateway.Advance(0.004);
  gateway.ReplyFromCounter(call->key, 13);  // the others have forwarded a whole burst
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Rejected());
  const auto* correction = gateway.Find<CallCounter>();
  ASSERT_NE(correction, nullptr);
  EXPECT_EQ(correction->amount, -2);
}

// A tenant that each of a hundred gateways sees seldom has overspent the last window, and the gateway that
// sees it first in the next one knows nothing of that. Admitted on an empty key, the tenant would get a full
// burst again. The gateway reads the key of the last window first, and adds the excess to the new key, where
// the others find it.
TEST(TenantQuota, FirstRequestOfAWindowCarriesOverTheExcessOfTheLastOne) {
  PolicyFixture gateway(MakeLargeFleetSettings(), {.start_s = 100.5});  // early in a window of 5 s
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
  gateway.ReplyFromCounter(read_of_last_window->key, 20);  // a burst, and all that the rate gave
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Rejected());
  const auto* correction = gateway.Find<CallCounter>();
  ASSERT_NE(correction, nullptr);
  EXPECT_EQ(correction->key, key);
  EXPECT_EQ(correction->amount, 8);  // ten carried over, less the two units that were not forwarded
}

}  // namespace
}  // namespace gateway::policy
