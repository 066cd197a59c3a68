// Calls to the shared counter: which are made, what they add, how often, and what happens when they fail.
#include "policy/counter_schedule.h"

#include <gtest/gtest.h>

#include <functional>
#include <variant>
#include <vector>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeLargeFleetSettings;
using test_support::MakeSettings;
using test_support::PolicyFixture;

TEST(CounterSchedule, BatchesGrowWithTheTokensLeft) {
  Settings settings = MakeSettings();
  settings.plans[0].rate_units_per_s = 200;
  settings.plans[0].burst_units = 1000;
  PolicyFixture gateway(settings);
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 2}));
  gateway.ReplyFromCounter(gateway.TakeCounterCalls().at(0).key, 2);  // another gateway has forwarded one
  ASSERT_EQ(gateway.ServeRequests(100, {.ingress_gateways = 2}), 100);
  EXPECT_TRUE(gateway.counter_calls().empty());
  ASSERT_EQ(gateway.ServeRequests(30, {.ingress_gateways = 2}), 30);
  ASSERT_EQ(gateway.counter_calls().size(), 1u);
  EXPECT_GT(gateway.counter_calls()[0].amount, 100);
}

// A call to the counter times out: its amount may have been added or not. Added a second time, it could
// charge the tenant for requests that it never sent. The amount is taken as added, also when the next total
// shows that it was not.
TEST(CounterSchedule, TimedOutCallIsNotRepeated) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 4}));
  ASSERT_EQ(gateway.LastCounterCall().amount, 4);
  gateway.FailCounterCall(gateway.LastCounterCall().key, CallResult::kTimeout);
  gateway.Advance(0.01);
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 1}));
  EXPECT_EQ(gateway.LastCounterCall().amount, 1);
  gateway.ReplyFromCounter(gateway.LastCounterCall().key, 1);  // the four units were lost
  gateway.Advance(0.01);
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 1}));
  EXPECT_EQ(gateway.LastCounterCall().amount, 1);
}

// The counter rejects a call: it has added nothing. Without these units the other gateways would take the
// tenant to have more quota left than it has, so the next call carries them too.
TEST(CounterSchedule, AmountOfARejectedCallIsAddedToTheNext) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 4}));
  gateway.FailCounterCall(gateway.LastCounterCall().key, CallResult::kRejected);
  gateway.Advance(0.01);
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 1}));
  EXPECT_EQ(gateway.LastCounterCall().amount, 5);
}

// A request of a tenant with two ingress gateways arrives, and a call to the counter that it leads to times
// out at once. Counts the call; returns whether the request was forwarded, before or after the timeout.
bool ServeWhileTheCounterIsSilent(PolicyFixture* gateway, int* calls) {
  const uint32_t request = gateway->SendRequest({.ingress_gateways = 2});
  bool forwarded = gateway->Forwarded();
  if (const auto* call = gateway->Find<CallCounter>()) {
    ++*calls;
    gateway->FailCounterCall(call->key, CallResult::kTimeout);
    forwarded = forwarded || gateway->Forwarded();
  }
  if (forwarded) gateway->CompleteAttempt(request, CallResult::kOk);
  return forwarded;
}

// The counter is silent for 50 s. A gateway that admits everything then lets the fleet pass the quota, one
// that admits nothing rejects requests within it, and one that calls for each request keeps the counter from
// recovering. The gateway admits its part of the rate and calls now and then.
TEST(CounterSchedule, SilentCounterLeavesThisGatewaysPartAndGetsFewCalls) {
  Settings settings = MakeSettings();
  settings.counter_timeout_s = 0.03;
  PolicyFixture gateway(settings);
  int forwarded = 0;
  int calls = 0;
  for (int i = 0; i < 1000; ++i) {
    gateway.SetTime(100 + i * 0.05);
    forwarded += ServeWhileTheCounterIsSilent(&gateway, &calls) ? 1 : 0;
  }
  EXPECT_NEAR(forwarded, 50 + 5, 7);  // half of two a second over 50 s, and half of the burst
  EXPECT_LT(calls, 200);
}

TEST(CounterSchedule, RequestIsCountedFirstAndForwardedOnTheReply) {
  PolicyFixture gateway(MakeLargeFleetSettings());
  gateway.SendRequest({.cost_units = 2, .ingress_gateways = 100});
  EXPECT_FALSE(gateway.Forwarded());
  const auto* call = gateway.Find<CallCounter>();
  ASSERT_NE(call, nullptr);
  EXPECT_EQ(call->amount, 2);
  gateway.Advance(0.004);
  gateway.ReplyFromCounter(call->key, 4);  // the others have forwarded two units
  EXPECT_TRUE(gateway.Forwarded());
}

// A request whose client gives up soon cannot wait for the counter's timeout, and is decided on arrival.
TEST(CounterSchedule, RequestWithLittleTimeLeftIsDecidedAtOnce) {
  PolicyFixture gateway(MakeLargeFleetSettings());
  gateway.SendRequest({.cost_units = 2, .time_left_s = 0.1, .ingress_gateways = 100});
  EXPECT_NE(gateway.Forwarded(), gateway.Rejected());
}

// How a simulated counter replies to the calls for which requests wait.
struct CounterBehavior {
  std::function<double(int call)> reply_delay_s;  // of the first call, the second, ...; counted from 1
  std::function<double(int request)> total;       // for the first request, the second, ...; counted from 0
};

// Serves one request of each of 400 new tenants with a hundred ingress gateways, one each 250 ms. Returns the
// number of requests that waited for the counter.
int CountRequestsThatWait(const Settings& settings, const CounterBehavior& counter) {
  PolicyFixture gateway(settings);
  int calls = 0;
  for (int i = 0; i < 400; ++i) {
    gateway.Advance(0.25);
    const uint32_t request =
        gateway.SendRequest({.tenant = 1000 + static_cast<uint64_t>(i), .ingress_gateways = 100});
    const auto* call = gateway.Find<CallCounter>();
    if (call != nullptr && !gateway.Forwarded()) {
      ++calls;
      gateway.Advance(counter.reply_delay_s(calls));
      gateway.ReplyFromCounter(call->key, counter.total(i));
    }
    if (gateway.Forwarded()) gateway.CompleteAttempt(request, CallResult::kOk);
  }
  return calls;
}

// The counter is overloaded by the calls of all gateways, and its replies come far later than its timeout.
// Were it called for each request as before, it would stay overloaded, and every request would wait for it.
// Late replies raise the price of a call, so that only the calls that matter most are made.
TEST(CounterSchedule, OverloadedCounterIsCalledLess) {
  const auto every_other_is_over_quota = [](int request) { return request % 2 == 0 ? 1 : 40; };
  const CounterBehavior fast{[](int) { return 0.004; }, every_other_is_over_quota};
  const CounterBehavior overloaded{[](int) { return 0.05; }, every_other_is_over_quota};
  EXPECT_GT(CountRequestsThatWait(MakeLargeFleetSettings(), fast), 300);
  EXPECT_LT(CountRequestsThatWait(MakeLargeFleetSettings(), overloaded), 200);
}

// Calls of a hundred gateways queue now and then, however few each gateway makes. If one late reply in ten
// were taken for an overload, the price of a call would rise without end and the counter would go unused.
TEST(CounterSchedule, FewLateRepliesDoNotEndTheCalls) {
  Settings settings = MakeLargeFleetSettings();
  settings.plans[0].over_quota_penalty = 0.3;  // so low that expensive calls are not made
  const CounterBehavior counter{[](int call) { return call % 10 == 0 ? 0.05 : 0.04; },
                                [](int request) { return request % 4 == 0 ? 40 : 1; }};
  EXPECT_GT(CountRequestsThatWait(settings, counter), 380);
}

// Replies that come late, each to a call for a request of a new tenant, raise the price of a call.
void RaiseThePriceOfCalls(PolicyFixture* gateway) {
  int late_replies = 0;
  for (uint64_t i = 0; i < 100 && late_replies < 10; ++i) {
    gateway->SendRequest({.tenant = 100 + i, .ingress_gateways = 100});
    const auto* call = gateway->Find<CallCounter>();
    gateway->Advance(0.06);
    if (call == nullptr) continue;
    gateway->ReplyFromCounter(call->key, 1);
    ++late_replies;
  }
  ASSERT_EQ(late_replies, 10);
}

// Lets a request of the tenant arrive, and serves it if it is forwarded. Returns whether it was rejected, so
// that it neither was forwarded nor waits for the counter.
bool IsRejectedOnArrival(PolicyFixture* gateway, uint64_t tenant) {
  const uint32_t request = gateway->SendRequest({.tenant = tenant, .ingress_gateways = 100});
  const bool rejected = gateway->Rejected();
  if (gateway->Forwarded()) gateway->CompleteAttempt(request, CallResult::kOk);
  return rejected;
}

// Before its first reply, a gateway admits its part of a tenant's burst, which is one request here. The
// tenant's second request would be rejected although the fleet has nearly all of the burst left. The
// rejection would lose far more than a call costs, also at a raised price, so the counter is called.
TEST(CounterSchedule, CounterIsCalledWhereThisGatewaysPartIsUsedUp) {
  Settings settings = MakeLargeFleetSettings();
  settings.plans[0].rate_units_per_s = 20;
  settings.plans[0].burst_units = 100;
  PolicyFixture gateway(settings);
  ASSERT_NO_FATAL_FAILURE(RaiseThePriceOfCalls(&gateway));
  int rejected = 0;
  for (uint64_t tenant = 1000; tenant < 1040; ++tenant) {
    gateway.Advance(0.3);
    IsRejectedOnArrival(&gateway, tenant);  // this gateway's part
    rejected += IsRejectedOnArrival(&gateway, tenant) ? 1 : 0;
  }
  EXPECT_EQ(rejected, 0);
}

// The counter is overloaded, so that a gateway pauses between calls, and an attempt of a tenant with a cap
// ends in such a pause. Were its end reported with the tenant's next request only, the cap would stay taken
// for all gateways until then. It is reported when the pause is over.
TEST(CounterSchedule, EndOfAnAttemptIsReportedWhenThePauseIsOver) {
  Settings settings = MakeLargeFleetSettings();
  settings.plans[0].max_concurrent_attempts = 2;
  PolicyFixture gateway(settings);
  const uint32_t request = gateway.SendRequest({.ingress_gateways = 100});
  std::vector<uint64_t> keys;
  for (const Action& action : gateway.actions()) {
    if (const auto* call = std::get_if<CallCounter>(&action)) keys.push_back(call->key);
  }
  ASSERT_EQ(keys.size(), 2u);
  gateway.ReplyFromCounter(keys[0], 1);
  gateway.ReplyFromCounter(keys[1], 5);
  ASSERT_TRUE(gateway.Forwarded());
  for (uint64_t tenant = 100; tenant < 200; ++tenant) {  // each call of another tenant fails
    gateway.SendRequest({.tenant = tenant, .ingress_gateways = 100});
    const auto* call = gateway.Find<CallCounter>();
    if (call != nullptr) gateway.FailCounterCall(call->key, CallResult::kRejected);
  }
  gateway.CompleteAttempt(request, CallResult::kOk);
  EXPECT_EQ(gateway.Find<CallCounter>(), nullptr) << "in the pause";
  for (int i = 0; i < 20 && gateway.Find<CallCounter>() == nullptr; ++i) {
    gateway.Advance(0.4);
    gateway.FireTimer(CounterSchedule::kPauseOverTag);
  }
  EXPECT_NE(gateway.Find<CallCounter>(), nullptr);
}

}  // namespace
}  // namespace gateway::policy
