#include "net/endpoint_list.h"

#include <string>
#include <string_view>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// Two backends' names have the same hash. With one id for both, one backend would get the other's load and
// health. They get ids of their own, the same at gateways that list them in different orders.
TEST(EndpointIds, GivesNamesWithOneHashIdsOfTheirOwn) {
  net::EndpointIds one([](std::string_view) { return 7u; }), two([](std::string_view) { return 7u; });
  config::DeploymentSettings deployment;
  json ab = {{"index", 1}, {"snapshot", true}, {"endpoints", {EndpointEntry("a", 1), EndpointEntry("b", 2)}}};
  json ba = {{"index", 1}, {"snapshot", true}, {"endpoints", {EndpointEntry("b", 2), EndpointEntry("a", 1)}}};
  auto first = net::ParseEndpointList(ab, deployment, &one),
       second = net::ParseEndpointList(ba, deployment, &two);
  EXPECT_NE(first.endpoints[0].endpoint.id, first.endpoints[1].endpoint.id);
  EXPECT_EQ(first.endpoints[0].endpoint.id, second.endpoints[1].endpoint.id);
  EXPECT_EQ(first.endpoints[1].endpoint.id, second.endpoints[0].endpoint.id);
}

}  // namespace
}  // namespace gateway::net
