// Tests of CounterSchedule: which counter calls are made, how much they add, how often they are made and how
// failed calls are handled.
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

// A tenant with many tokens left sends many requests. If the gateway reported each of them with its own call,
// busy tenants would overload the counter. It must collect their units and report them in one call.
TEST(CounterSchedule, BatchesGrowWithTheRemainingTokens) {
  Settings settings = MakeSettings();
  settings.plans[0].rate_units_per_s = 200;
  settings.plans[0].burst_units = 1000;
  PolicyFixture gateway(settings);
  ASSERT_TRUE(gateway.ServeRequest({.ingress_gateways = 2}));
  gateway.ReplyFromCounter(gateway.TakeCounterCalls().at(0).key, 2);  // includes one unit of another gateway
  ASSERT_EQ(gateway.ServeRequests(100, {.ingress_gateways = 2}), 100);
  EXPECT_TRUE(gateway.counter_calls().empty());
  ASSERT_EQ(gateway.ServeRequests(30, {.ingress_gateways = 2}), 30);
  ASSERT_EQ(gateway.counter_calls().size(), 1u);
  EXPECT_GT(gateway.counter_calls()[0].amount, 100);
}

// A counter call times out, so it is unknown whether its amount was added. If it were added a second time,
// the tenant might be charged for requests that it never sent. The amount must be treated as added, even if
// the next total shows that it was not.
TEST(CounterSchedule, TimedOutCallIsNotRepeated) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 4}));
  ASSERT_EQ(gateway.LastCounterCall().amount, 4);
  gateway.FailCounterCall(gateway.LastCounterCall().key, CallResult::kTimeout);
  gateway.Advance(0.01);
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 1}));
  EXPECT_EQ(gateway.LastCounterCall().amount, 1);
  gateway.ReplyFromCounter(gateway.LastCounterCall().key, 1);  // the four units were not added
  gateway.Advance(0.01);
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 1}));
  EXPECT_EQ(gateway.LastCounterCall().amount, 1);
}

// The counter rejects a call, so its amount was not added. Without these units, the other gateways would
// overestimate the tenant's remaining quota. The next call must therefore include them.
TEST(CounterSchedule, AmountOfARejectedCallIsAddedToTheNext) {
  PolicyFixture gateway(MakeSettings());
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 4}));
  gateway.FailCounterCall(gateway.LastCounterCall().key, CallResult::kRejected);
  gateway.Advance(0.01);
  ASSERT_TRUE(gateway.ServeRequest({.cost_units = 1}));
  EXPECT_EQ(gateway.LastCounterCall().amount, 5);
}

// Sends a request of a tenant with two ingress gateways. If it causes a counter call, the call times out
// immediately and `*calls` is increased. Returns whether the request was forwarded, before or after the
// timeout.
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

// The counter is silent for 50 s. If the gateway admitted everything, the fleet would exceed the quota. If it
// admitted nothing, requests within the quota would be rejected. If it called the counter for each request,
// the counter could not recover. The gateway must admit its own part of the rate and call the counter
// occasionally.
TEST(CounterSchedule, AdmitsOwnPartAndCallsRarelyWhileTheCounterIsSilent) {
  Settings settings = MakeSettings();
  settings.counter_timeout_s = 0.03;
  PolicyFixture gateway(settings);
  int forwarded = 0;
  int calls = 0;
  for (int i = 0; i < 1000; ++i) {
    gateway.SetTime(100 + i * 0.05);
    forwarded += ServeWhileTheCounterIsSilent(&gateway, &calls) ? 1 : 0;
  }
  EXPECT_NEAR(forwarded, 50 + 5, 7);  // half of 2 units/s over 50 s, plus half of the burst
  EXPECT_LT(calls, 200);
}

// A request waits for the counter. Its units must be part of the call, so that the other gateways count them,
// and it must be forwarded if the returned total leaves room for it.
TEST(CounterSchedule, WaitingRequestIsCountedAndForwardedOnReply) {
  PolicyFixture gateway(MakeLargeFleetSettings());
  gateway.SendRequest({.cost_units = 2, .ingress_gateways = 100});
  EXPECT_FALSE(gateway.Forwarded());
  const auto* call = gateway.Find<CallCounter>();
  ASSERT_NE(call, nullptr);
  EXPECT_EQ(call->amount, 2);
  gateway.Advance(0.004);
  gateway.ReplyFromCounter(call->key, 4);  // includes two units of other gateways
  EXPECT_TRUE(gateway.Forwarded());
}

// The client of a request gives up soon, so the request cannot wait for the counter's timeout. It must be
// decided on arrival.
TEST(CounterSchedule, RequestWithLittleTimeLeftIsDecidedOnArrival) {
  PolicyFixture gateway(MakeLargeFleetSettings());
  gateway.SendRequest({.cost_units = 2, .time_left_s = 0.1, .ingress_gateways = 100});
  EXPECT_NE(gateway.Forwarded(), gateway.Rejected());
}

// Simulates the replies of the counter to the calls for which a request waits.
struct CounterBehavior {
  std::function<double(int call)> reply_delay_s;  // by call number, from 1
  std::function<double(int request)> total;       // by request number, from 0
};

// Serves one request of each of 400 new tenants, all with 100 ingress gateways, at intervals of 250 ms.
// Returns the number of requests that waited for the counter.
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

// The calls of all gateways overload the counter, so its replies come long after the timeout. If the gateway
// continued to call it for each request, the counter would stay overloaded and every request would wait for
// it. Late replies must raise the price of a call, so that only the most valuable calls are made.
TEST(CounterSchedule, OverloadedCounterIsCalledLessOften) {
  const auto every_other_is_over_quota = [](int request) { return request % 2 == 0 ? 1 : 40; };
  const CounterBehavior fast{[](int) { return 0.004; }, every_other_is_over_quota};
  const CounterBehavior overloaded{[](int) { return 0.05; }, every_other_is_over_quota};
  EXPECT_GT(CountRequestsThatWait(MakeLargeFleetSettings(), fast), 300);
  EXPECT_LT(CountRequestsThatWait(MakeLargeFleetSettings(), overloaded), 200);
}

// The calls of 100 gateways sometimes queue at the counter, no matter how few of them each gateway makes. If
// one late reply in ten were treated as an overload, the price of a call would rise without bound and the
// counter would no longer be used.
TEST(CounterSchedule, OccasionalLateRepliesDoNotStopTheCalls) {
  Settings settings = MakeLargeFleetSettings();
  settings.plans[0].over_quota_penalty = 0.3;  // too low for expensive calls to be worth their price
  const CounterBehavior counter{[](int call) { return call % 10 == 0 ? 0.05 : 0.04; },
                                [](int request) { return request % 4 == 0 ? 40 : 1; }};
  EXPECT_GT(CountRequestsThatWait(settings, counter), 380);
}

// Raises the price of a call with ten late replies, each to a call for a request of a new tenant.
void RaiseCallPrice(PolicyFixture* gateway) {
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

// Sends a request of the tenant and serves it if it is forwarded. Returns whether it was rejected, which
// means that it was neither forwarded nor waits for the counter.
bool SendAndCheckRejected(PolicyFixture* gateway, uint64_t tenant) {
  const uint32_t request = gateway->SendRequest({.tenant = tenant, .ingress_gateways = 100});
  const bool rejected = gateway->Rejected();
  if (gateway->Forwarded()) gateway->CompleteAttempt(request, CallResult::kOk);
  return rejected;
}

// Before the counter's first reply for a tenant, the gateway admits only its own part of the tenant's burst,
// which is one request here. Without a call, the tenant's second request would be rejected, although the
// fleet has almost all of the burst left. Such a rejection costs far more than a call, even at a raised
// price, so the counter must be called.
TEST(CounterSchedule, CounterIsCalledWhenTheLocalPartIsUsedUp) {
  Settings settings = MakeLargeFleetSettings();
  settings.plans[0].rate_units_per_s = 20;
  settings.plans[0].burst_units = 100;
  PolicyFixture gateway(settings);
  ASSERT_NO_FATAL_FAILURE(RaiseCallPrice(&gateway));
  int rejected = 0;
  for (uint64_t tenant = 1000; tenant < 1040; ++tenant) {
    gateway.Advance(0.3);
    SendAndCheckRejected(&gateway, tenant);  // uses up this gateway's part
    rejected += SendAndCheckRejected(&gateway, tenant) ? 1 : 0;
  }
  EXPECT_EQ(rejected, 0);
}

// The counter is overloaded, so the gateway pauses between calls. During a pause, an attempt of a tenant with
// a cap on concurrent attempts ends. If its end were reported only with the tenant's next request, the cap
// would stay occupied at all gateways until then. It must be reported when the pause is over.
TEST(CounterSchedule, EndOfAnAttemptIsReportedAfterThePause) {
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
  for (uint64_t tenant = 100; tenant < 200; ++tenant) {  // each call for another tenant fails
    gateway.SendRequest({.tenant = tenant, .ingress_gateways = 100});
    const auto* call = gateway.Find<CallCounter>();
    if (call != nullptr) gateway.FailCounterCall(call->key, CallResult::kRejected);
  }
  gateway.CompleteAttempt(request, CallResult::kOk);
  EXPECT_EQ(gateway.Find<CallCounter>(), nullptr) << "the pause between calls is not over";
  for (int i = 0; i < 20 && gateway.Find<CallCounter>() == nullptr; ++i) {
    gateway.Advance(0.4);
    gateway.FireTimer(CounterSchedule::kPauseOverTag);
  }
  EXPECT_NE(gateway.Find<CallCounter>(), nullptr);
}

}  // namespace
}  // namespace gateway::policy
