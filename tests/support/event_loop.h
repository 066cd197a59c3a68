// An event loop for tests of classes that run in an event loop.
#ifndef GATEWAY_TESTS_SUPPORT_EVENT_LOOP_H_
#define GATEWAY_TESTS_SUPPORT_EVENT_LOOP_H_

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>

#include "support/time_limit.h"

namespace gateway::test_support {

// Returns the TCP endpoint of a port on the loopback address.
inline boost::asio::ip::tcp::endpoint LoopbackEndpoint(int port) {
  return {boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)};
}

// An event loop that only runs while the test calls RunUntil(), one handler at a time.
struct EventLoop {
  // Runs handlers until `done()` returns true. Fails the test if that takes longer than kWaitTimeoutS.
  void RunUntil(const std::function<bool()>& done) {
    auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
    while (!done() && std::chrono::steady_clock::now() < deadline) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    EXPECT_TRUE(done());
  }
  boost::asio::io_context io;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_EVENT_LOOP_H_
