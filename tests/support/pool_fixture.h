// A connection pool in an event loop that the test runs.
#ifndef GATEWAY_TESTS_SUPPORT_POOL_FIXTURE_H_
#define GATEWAY_TESTS_SUPPORT_POOL_FIXTURE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "net/backend_connection_pool.h"
#include "support/event_loop.h"
#include "support/test_connection.h"

namespace gateway::test_support {

struct PoolFixture : EventLoop {
  explicit PoolFixture(double min_idle_before_reuse_s = 0, double idle_s = 30, double connect_timeout_s = 5)
      : pool(io, idle_s, connect_timeout_s, 0.5, 100, min_idle_before_reuse_s) {}
  uint64_t Send(uint32_t backend, const std::string& request, double timeout_s = 50) {
    return pool.Send(
        backend, [request](double) { return request; }, timeout_s,
        [this](net::AttemptResult result) { results.push_back(std::move(result)); });
  }
  // Runs the event loop until the backend's side of a connection has received bytes.
  void AwaitReadable(const TestConnection& connection) {
    RunUntil([&] { return connection.IsReadable(); });
  }
  std::vector<net::AttemptResult> results;  // in the order in which the attempts ended
  net::BackendConnectionPool pool;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_POOL_FIXTURE_H_
