// An event loop for tests of classes that run in one.
#ifndef GATEWAY_TESTS_SUPPORT_EVENT_LOOP_H_
#define GATEWAY_TESTS_SUPPORT_EVENT_LOOP_H_

#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>

#include "support/time_limit.h"

namespace gateway::test_support {

// A loopback port as an endpoint.
inline boost::asio::ip::tcp::endpoint LoopbackEndpoint(int port) {
  return {boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)};
}

// An event loop that the test turns itself, one handler at a time.
struct EventLoop {
  // Runs handlers until `done()` is true; fails the test where that takes longer than kWaitTimeoutS.
  void RunUntil(const std::function<bool()>& done) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.run_one_for(std::chrono::milliseconds(20));
    }
    EXPECT_TRUE(done());
  }
  boost::asio::io_context io;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_EVENT_LOOP_H_
