// Tests of OutlierDetector, which ejects failing backends.
#include <gtest/gtest.h>

#include <optional>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::kFirstBackendId;
using test_support::kNonIdempotentClass;
using test_support::MakeEndpoints;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// One backend immediately answers every request with an error. Because it never has attempts in flight, it
// looks like the least loaded backend and would attract most of the traffic. It must be ejected after a few
// errors.
TEST(OutlierDetector, FailingBackendIsEjected) {
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(3)});
  int attempts_at_failing_backend = 0;
  for (uint64_t tenant = 100; tenant < 160; ++tenant) {
    gateway.Advance(0.005);
    const uint32_t request = gateway.SendRequest({.request_class = kNonIdempotentClass, .tenant = tenant});
    ASSERT_TRUE(gateway.Forwarded());
    const bool is_failing = gateway.ForwardedTo() == kFirstBackendId;
    attempts_at_failing_backend += is_failing ? 1 : 0;
    gateway.CompleteAttempt(request, is_failing ? CallResult::kError : CallResult::kOk);
  }
  EXPECT_LE(attempts_at_failing_backend, 4);
}

// Half of the backends fail. A fault that affects so many backends is probably not their own. If all failing
// backends were ejected, the remaining ones would be full and requests would be rejected. Ejections must be
// ignored if more than a small part of the fleet is ejected.
TEST(OutlierDetector, EjectionsAreIgnoredWhenHalfOfTheFleetFails) {
  constexpr uint32_t kFirstHealthyBackendId = kFirstBackendId + 4;
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(8)});
  int not_forwarded = 0;
  for (uint64_t tenant = 100; tenant < 160; ++tenant) {
    gateway.Advance(0.002);
    const uint32_t request =
        gateway.SendRequest({.request_class = kNonIdempotentClass, .time_left_s = 1.4, .tenant = tenant});
    const std::optional<uint32_t> backend = gateway.ForwardedTo();
    not_forwarded += backend.has_value() ? 0 : 1;
    if (backend.has_value() && *backend < kFirstHealthyBackendId) {
      gateway.CompleteAttempt(request, CallResult::kError);
    }
  }
  EXPECT_EQ(not_forwarded, 0);  // the healthy backends send no responses, so they are full by now
}

}  // namespace
}  // namespace gateway::policy
