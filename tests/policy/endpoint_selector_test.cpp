// Tests of EndpointSelector, which selects the backend for an attempt.
#include <gtest/gtest.h>

#include <optional>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeSettings;
using test_support::PolicyFixture;

// A backend answers an idempotent request with an error. The same backend would probably fail again, so the
// retry must go to another one.
TEST(EndpointSelector, RetryAfterAnErrorGoesToAnotherBackend) {
  PolicyFixture gateway(MakeSettings());
  const uint32_t request = gateway.SendRequest();
  const std::optional<uint32_t> first_backend = gateway.ForwardedTo();
  gateway.CompleteAttempt(request, CallResult::kError);
  ASSERT_TRUE(gateway.Forwarded());
  EXPECT_NE(gateway.ForwardedTo(), first_backend);
}

}  // namespace
}  // namespace gateway::policy
