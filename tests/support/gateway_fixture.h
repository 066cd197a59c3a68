// The fixture for tests of a gateway process: the process and stubs of the servers that it calls, on free
// loopback ports. The fixture waits for events rather than for fixed times, and its timeouts are far longer
// than any event takes.
#ifndef GATEWAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_
#define GATEWAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "support/client_request.h"
#include "support/event.h"
#include "support/gateway_config_json.h"
#include "support/gateway_process.h"
#include "support/http_message.h"
#include "support/stub_backend.h"
#include "support/stub_counter.h"
#include "support/stub_discovery.h"
#include "support/stub_server.h"
#include "support/test_connection.h"
#include "support/time_limit.h"

namespace gateway::test_support {

using nlohmann::json;

// Starts a gateway process together with a discovery and a counter that answer, and waits until the gateway
// has applied the given endpoint list.
struct GatewayFixture {
  explicit GatewayFixture(const json& endpoints, json config = {}, const char* program = API_GATEWAY,
                          rlim_t max_descriptors = 0) {
    discovery.Set(endpoints);
    if (!config.is_object()) config = ConfigJson(0, 0);
    config["discovery"] = "127.0.0.1:" + std::to_string(discovery.port());
    config["counter"] = "127.0.0.1:" + std::to_string(counter.port());
    gateway = std::make_unique<GatewayProcess>(config, program, max_descriptors);
    EXPECT_NE(gateway->port, 0) << gateway->first_line;
    EXPECT_TRUE(discovery.AwaitApplied());
  }
  StubCounter counter{[](const std::string&, double) { return BulkString("0"); }};
  StubDiscovery discovery;
  std::unique_ptr<GatewayProcess> gateway;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_GATEWAY_FIXTURE_H_
