// The backends as discovery lists them.
#include <gtest/gtest.h>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::kFirstBackendId;
using test_support::MakeEndpoints;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// A backend shuts down or is removed. A request that is still forwarded to it is lost or fails. From the
// update on, requests go to the other backends, and are rejected where there are none.
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
