// Further attempts of a request: how many, when, and at which backends, by its idempotency.
#include <gtest/gtest.h>

#include <optional>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::kBackendsPerCell;
using test_support::kFirstBackendId;
using test_support::kIdempotencyKeyClass;
using test_support::kNonIdempotentClass;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// The cell of MakeEndpoints() that the last attempt goes to.
uint32_t ForwardedToCell(const PolicyFixture& gateway) {
  return (gateway.ForwardedTo().value() - kFirstBackendId) / kBackendsPerCell;
}

// A request with an idempotency key may have run before its attempt failed. Only the backends of that cell
// know its key, and only for the deduplication window: a retry elsewhere or later could run it twice. It is
// retried in the cell within the window, and after that it fails, for a rejection would invite a repeat.
TEST(RetryPolicy, RequestWithIdempotencyKeyIsRetriedInItsCellAndWindowOnly) {
  PolicyFixture gateway(MakeSettings());
  const uint32_t request = gateway.SendRequest({.request_class = kIdempotencyKeyClass, .time_left_s = 1.45});
  const uint32_t first_cell = ForwardedToCell(gateway);
  gateway.CompleteAttempt(request, CallResult::kError);
  ASSERT_TRUE(gateway.Forwarded());
  EXPECT_EQ(ForwardedToCell(gateway), first_cell);
  gateway.Advance(1.25);  // past the window
  gateway.CompleteAttempt(request, CallResult::kError);
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Failed());
  EXPECT_FALSE(gateway.Rejected());
}

// A retry may have to wait for a new connection, and leaves when that has come up. If the deduplication
// window is over by then, the request could run twice. So the window must outlast the connect timeout too.
TEST(RetryPolicy, RequestWithIdempotencyKeyIsNotRetriedWhereTheConnectionMayOutlastTheWindow) {
  Settings settings = MakeSettings();
  settings.connect_timeout_s = 0.3;
  for (double error_after_s : {0.8, 1.0}) {
    PolicyFixture gateway(settings);
    const uint32_t request =
        gateway.SendRequest({.request_class = kIdempotencyKeyClass, .time_left_s = 1.45});
    gateway.Advance(error_after_s);
    gateway.CompleteAttempt(request, CallResult::kError);
    EXPECT_EQ(gateway.Forwarded(), error_after_s < 0.9) << "of a window of 1.2 s";
  }
}

// A request that must not run twice is retried after a backend rejected it unseen. Once an attempt may have
// run it, a retry could repeat its effect, and a rejection would invite the client to: it fails.
TEST(RetryPolicy, NonIdempotentRequestFailsOnceItMayHaveRun) {
  PolicyFixture gateway(MakeSettings());
  const uint32_t request = gateway.SendRequest({.request_class = kNonIdempotentClass});
  gateway.CompleteAttempt(request, CallResult::kRejected);
  ASSERT_TRUE(gateway.Forwarded());
  gateway.CompleteAttempt(request, CallResult::kReset);
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Failed());
}

// All backends reject. Retries without a limit would multiply the load that makes them reject.
TEST(RetryPolicy, RequestIsRejectedAfterTheLastAllowedAttempt) {
  Settings settings = MakeSettings();
  settings.max_attempts = 2;
  PolicyFixture gateway(settings);
  const uint32_t request = gateway.SendRequest();
  gateway.CompleteAttempt(request, CallResult::kRejected);
  ASSERT_TRUE(gateway.Forwarded());
  gateway.CompleteAttempt(request, CallResult::kRejected);
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Rejected());
}

// A backend hangs: it takes the request and says nothing more, to anyone. Without a check, the request would
// wait there until its deadline. Its timer cancels the attempt in time for a retry at another backend.
TEST(RetryPolicy, SilentBackendIsGivenUpForAnother) {
  PolicyFixture gateway(MakeSettings());
  const uint32_t request = gateway.SendRequest({.time_left_s = 1.4});
  const std::optional<uint32_t> silent_backend = gateway.ForwardedTo();
  const auto* timer = gateway.Find<StartTimer>();
  ASSERT_NE(timer, nullptr);
  gateway.Advance(timer->delay_s + 0.001);
  gateway.FireTimer(timer->tag);
  ASSERT_NE(gateway.Find<CancelAttempt>(), nullptr);
  gateway.CompleteAttempt(request, CallResult::kCancelled);
  ASSERT_TRUE(gateway.Forwarded());
  EXPECT_NE(gateway.ForwardedTo(), silent_backend);
}

// The process is held up just after an attempt was sent. Its backend has had no time to answer, as far as
// this gateway can have heard it: the attempt is given the usual time before it is hedged.
TEST(RetryPolicy, AttemptIsNotHedgedForTimeInWhichTheProcessStoodStill) {
  Settings settings = MakeSettings();
  settings.hedging_enabled = true;
  PolicyFixture gateway(settings);
  const uint32_t request = gateway.SendRequest({.time_left_s = 3});
  ASSERT_TRUE(gateway.Forwarded());
  const double check_delay_s = gateway.Find<StartTimer>()->delay_s;
  gateway.Stall(check_delay_s);
  gateway.FireTimer(request);
  EXPECT_FALSE(gateway.Forwarded());
  ASSERT_NE(gateway.Find<StartTimer>(), nullptr);
  gateway.Advance(gateway.Find<StartTimer>()->delay_s);
  gateway.FireTimer(request);
  EXPECT_TRUE(gateway.Forwarded());
}

// Hedging is forbidden, and a silent attempt is looked at when too little time is left for another one.
// Cancelled all the same it could only be rejected next, though its backend may yet answer in time.
TEST(RetryPolicy, SilentAttemptIsNotCancelledWithoutTimeForAnother) {
  Settings settings = MakeSettings();
  settings.hedging_enabled = false;
  settings.cancellation_enabled = true;
  settings.counter_enabled = false;
  for (bool time_for_another : {false, true}) {
    PolicyFixture gateway(settings);
    gateway.ServeOneAtATime(0.05, 20);
    const double check_delay_s = 0.5 * settings.classes[0].latency_objective_s;
    const double left_s = time_for_another ? 0.5 : 0.02;
    const uint32_t request = gateway.SendRequest({.time_left_s = check_delay_s + left_s, .tenant = 1});
    ASSERT_TRUE(gateway.Forwarded());
    gateway.Advance(check_delay_s);
    gateway.FireTimer(request);
    EXPECT_EQ(gateway.Find<CancelAttempt>() != nullptr, time_for_another);
    EXPECT_FALSE(gateway.Rejected());
  }
}

}  // namespace
}  // namespace gateway::policy
