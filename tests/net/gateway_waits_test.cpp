// Tests that a running gateway has no descriptor on which it could block outside its event loop.
#include <memory>
#include <string>
#include <vector>

#include "support/gateway_fixture.h"

namespace gateway::net {
namespace {

using namespace test_support;

// A read, write or connect on a blocking descriptor waits for its peer, and every client of the gateway waits
// with it.
TEST(GatewayWaits, HoldsNoBlockingSocketOrPipe) {
  StubBackend backend(RespondsWith(OkResponse("x")));
  GatewayFixture fixture(json::array({EndpointEntry("s1", backend.port())}));
  std::unique_ptr<TestConnection> client = fixture.gateway->Connect();
  ASSERT_EQ(Exchange(*client, MakeRequest("quote", 2)).status(), 200);
  EXPECT_EQ(fixture.gateway->BlockingSocketsAndPipes(), std::vector<std::string>());
}

}  // namespace
}  // namespace gateway::net
