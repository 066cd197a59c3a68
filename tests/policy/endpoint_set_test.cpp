// Tests of EndpointSet, which applies the endpoint lists of discovery.
#include <gtest/gtest.h>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::kFirstBackendId;
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

}  // namespace
}  // namespace gateway::policy
