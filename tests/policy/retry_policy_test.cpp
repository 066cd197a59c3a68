// Tests of RetryPolicy: how many further attempts a request gets, when, and at which backends, depending on
// its idempotency.
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

// Returns the cell of the backend that the last attempt was forwarded to, for the backends of
// MakeEndpoints().
uint32_t ForwardedToCell(const PolicyFixture& gateway) {
  return (gateway.ForwardedTo().value() - kFirstBackendId) / kBackendsPerCell;
}

// A request with an idempotency key may have run before its attempt failed. Only the backends of that cell
// know its key, and only within the deduplication window. A retry in another cell or after the window could
// run it twice. It must be retried only in the cell and within the window. Afterwards it must fail, because a
// rejection would invite the client to repeat it.
TEST(RetryPolicy, RequestWithIdempotencyKeyIsRetriedOnlyInItsCellAndWindow) {
  PolicyFixture gateway(MakeSettings());
  const uint32_t request = gateway.SendRequest({.request_class = kIdempotencyKeyClass, .time_left_s = 1.45});
  const uint32_t first_cell = ForwardedToCell(gateway);
  gateway.CompleteAttempt(request, CallResult::kError);
  ASSERT_TRUE(gateway.Forwarded());
  EXPECT_EQ(ForwardedToCell(gateway), first_cell);
  gateway.Advance(1.25);  // after the deduplication window
  gateway.CompleteAttempt(request, CallResult::kError);
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Failed());
  EXPECT_FALSE(gateway.Rejected());
}

// A retry may have to wait for a new connection and is sent only when the connection is established. If the
// deduplication window ended in the meantime, the request could run twice. The rest of the window must
// therefore be longer than the connect timeout.
TEST(RetryPolicy, RequestWithIdempotencyKeyIsNotRetriedIfConnectingMayOutlastTheWindow) {
  Settings settings = MakeSettings();
  settings.connect_timeout_s = 0.3;
  for (double error_after_s : {0.8, 1.0}) {
    PolicyFixture gateway(settings);
    const uint32_t request =
        gateway.SendRequest({.request_class = kIdempotencyKeyClass, .time_left_s = 1.45});
    gateway.Advance(error_after_s);
    gateway.CompleteAttempt(request, CallResult::kError);
    EXPECT_EQ(gateway.Forwarded(), error_after_s < 0.9)
        << "first attempt failed after " << error_after_s << " s of a deduplication window of 1.2 s";
  }
}

// A non-idempotent request may be retried after a backend rejected it without running it. Once an attempt may
// have run it, a retry could repeat its side effects, and a rejection would invite the client to repeat it.
// The request must fail.
TEST(RetryPolicy, NonIdempotentRequestFailsOnceItMayHaveRun) {
  PolicyFixture gateway(MakeSettings());
  const uint32_t request = gateway.SendRequest({.request_class = kNonIdempotentClass});
  gateway.CompleteAttempt(request, CallResult::kRejected);
  ASSERT_TRUE(gateway.Forwarded());
  gateway.CompleteAttempt(request, CallResult::kReset);
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_TRUE(gateway.Failed());
}

// All backends reject attempts. Without a limit, retries would multiply the load that causes the rejections.
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

// A backend accepts a request and then sends no more responses, to this or any other request. Without a
// check, the request would wait for it until the deadline. The timer of the request must cancel the attempt
// early enough for a retry at another backend.
TEST(RetryPolicy, SilentAttemptIsCancelledAndRetriedAtAnotherBackend) {
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

// The process stalls just after an attempt was sent, so no response could be read in that time. The attempt
// must get the usual time to respond before it is hedged.
TEST(RetryPolicy, AttemptIsNotHedgedBecauseOfAProcessStall) {
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

// Hedging is disabled, and a silent attempt is checked when too little time is left for another attempt. If
// it were cancelled, the request could only be rejected, although the backend may still answer in time.
TEST(RetryPolicy, SilentAttemptIsNotCancelledWithoutTimeForARetry) {
  Settings settings = MakeSettings();
  settings.hedging_enabled = false;
  settings.cancellation_enabled = true;
  settings.counter_enabled = false;
  for (bool time_for_retry : {false, true}) {
    PolicyFixture gateway(settings);
    gateway.ServeOneAtATime(0.05, 20);
    const double check_delay_s = 0.5 * settings.classes[0].latency_objective_s;
    const double left_s = time_for_retry ? 0.5 : 0.02;
    const uint32_t request = gateway.SendRequest({.time_left_s = check_delay_s + left_s, .tenant = 1});
    ASSERT_TRUE(gateway.Forwarded());
    gateway.Advance(check_delay_s);
    gateway.FireTimer(request);
    EXPECT_EQ(gateway.Find<CancelAttempt>() != nullptr, time_for_retry);
    EXPECT_FALSE(gateway.Rejected());
  }
}

}  // namespace
}  // namespace gateway::policy
