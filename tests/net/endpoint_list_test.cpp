#include "net/endpoint_list.h"

#include <string>
#include <string_view>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// The names of two backends have the same hash. If both got the same id, the load and health of one backend
// would be attributed to the other. Each must get its own id, and gateways must agree on the ids even if
// their lists have different orders.
TEST(EndpointIds, AssignsDistinctIdsToNamesWithTheSameHash) {
  net::EndpointIds first_ids([](std::string_view) { return 7u; }),
      second_ids([](std::string_view) { return 7u; });
  config::DeploymentSettings deployment;
  json ab = {{"index", 1}, {"snapshot", true}, {"endpoints", {EndpointEntry("a", 1), EndpointEntry("b", 2)}}};
  json ba = {{"index", 1}, {"snapshot", true}, {"endpoints", {EndpointEntry("b", 2), EndpointEntry("a", 1)}}};
  auto first = net::ParseEndpointList(ab, deployment, &first_ids),
       second = net::ParseEndpointList(ba, deployment, &second_ids);
  EXPECT_NE(first.endpoints[0].endpoint.id, first.endpoints[1].endpoint.id);
  EXPECT_EQ(first.endpoints[0].endpoint.id, second.endpoints[1].endpoint.id);
  EXPECT_EQ(first.endpoints[1].endpoint.id, second.endpoints[0].endpoint.id);
}

}  // namespace
}  // namespace gateway::net
