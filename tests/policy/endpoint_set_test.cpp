// Tests of EndpointSet, which applies the endpoint lists of discovery.
#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::kFirstBackendId;
using test_support::kNonIdempotentClass;
using test_support::MakeEndpoints;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// A backend is draining or removed, so a request forwarded to it would be lost or fail. As soon as the update
// arrives, requests must go to the other backends, or be rejected if there are none.
TEST(EndpointSet, NothingIsForwardedToDrainingOrRemovedBackends) {
  constexpr uint32_t kSecondBackendId = kFirstBackendId + 1;
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(2)});
  gateway.UpdateEndpoints(EndpointUpdateKind::kDelta,
                          {{.id = kFirstBackendId, .state = EndpointState::kDraining}});
  for (uint64_t tenant = 20; tenant < 23; ++tenant) {
    gateway.SendRequest({.tenant = tenant});
    ASSERT_TRUE(gateway.Forwarded());
    EXPECT_EQ(gateway.ForwardedTo(), kSecondBackendId);
  }
  gateway.UpdateEndpoints(EndpointUpdateKind::kDelta,
                          {{.id = kSecondBackendId, .state = EndpointState::kRemoved}});
  gateway.SendRequest({.tenant = 40});
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Rejected());
}

constexpr double kLaterStartS = 50;  // so long before the events of the tests that slow start is over

void RestartOnlyBackend(PolicyFixture* gateway) {
  gateway->UpdateEndpoints(EndpointUpdateKind::kDelta,
                           {{.id = kFirstBackendId, .started_at_s = kLaterStartS}});
}

// A new process comes up under the name of one whose attempts never end (picture (d) of "What the review
// found"). If they counted as the new one's, it would get no request while they are open, and be ejected when
// they time out.
TEST(EndpointSet, LearnsNothingOfANewProcessFromAttemptsAtTheOldOne) {
  constexpr int kOldAttempts = 3;  // as many as the first limit allows
  for (CallResult result : {CallResult::kTimeout, CallResult::kReset, CallResult::kError}) {
    PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
    std::vector<uint32_t> old_requests;
    for (int i = 0; i < kOldAttempts; ++i) {
      old_requests.push_back(gateway.SendRequest({.request_class = kNonIdempotentClass, .tenant = 20}));
      ASSERT_TRUE(gateway.Forwarded());
    }
    gateway.SendRequest({.tenant = 30});
    EXPECT_FALSE(gateway.Forwarded()) << "the limit of the old process is reached";
    RestartOnlyBackend(&gateway);
    EXPECT_TRUE(gateway.ServeRequest({.tenant = 31})) << "the new process has no attempt";
    for (uint32_t old_request : old_requests) {
      gateway.CompleteAttempt(old_request, result);
      EXPECT_EQ(gateway.Find<LogEvent>(), nullptr) << "the new process was ejected";
    }
    EXPECT_EQ(gateway.ServeRequests(kOldAttempts, {.tenant = 32}), kOldAttempts);
  }
}

// An attempt is open at an old process that is silent, and the new one answers others. If that counted as a
// sign of the old one, the attempt would be taken for slow and be waited for until the client's time is over.
TEST(EndpointSet, CancelsAnAttemptAtAnEarlierProcessAlthoughTheNewOneAnswers) {
  for (bool restarts : {false, true}) {
    Settings settings = MakeSettings();
    settings.cancellation_enabled = true;
    settings.hedging_enabled = false;
    PolicyFixture gateway(settings, {.endpoints = MakeEndpoints(1)});
    gateway.ServeOneAtATime(0.05, 20);
    uint32_t waiting = gateway.SendRequest({.time_left_s = 1.4, .tenant = 20});
    ASSERT_TRUE(gateway.Forwarded());
    const auto* check = gateway.Find<StartTimer>();
    ASSERT_NE(check, nullptr);
    double check_delay_s = check->delay_s;
    gateway.Advance(check_delay_s / 2);
    if (restarts) RestartOnlyBackend(&gateway);
    EXPECT_TRUE(gateway.ServeRequest({.tenant = 21}));
    gateway.Advance(check_delay_s / 2);
    gateway.FireTimer(waiting);
    EXPECT_FALSE(gateway.Rejected()) << "the request has time left";
    EXPECT_EQ(gateway.Find<CancelAttempt>() != nullptr, restarts);
  }
}

// The same process is listed again, with 0 once its start is long ago or by an agent that has an older list.
// Its attempts still count.
TEST(EndpointSet, KeepsWhatItLearntOfAProcessThatIsListedAgain) {
  for (double listed_start_s : {kLaterStartS, 0.0, kLaterStartS - 10}) {
    PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
    RestartOnlyBackend(&gateway);
    for (int i = 0; i < 3; ++i) gateway.SendRequest({.tenant = 20});
    gateway.UpdateEndpoints(EndpointUpdateKind::kDelta,
                            {{.id = kFirstBackendId, .started_at_s = listed_start_s}});
    RestartOnlyBackend(&gateway);
    gateway.SendRequest({.tenant = 30});
    EXPECT_FALSE(gateway.Forwarded()) << listed_start_s;
  }
}

}  // namespace
}  // namespace gateway::policy
