// A listener whose accepts are steps of a test.
#ifndef GATEWAY_TESTS_SUPPORT_MANUAL_LISTENER_H_
#define GATEWAY_TESTS_SUPPORT_MANUAL_LISTENER_H_

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>

#include "support/test_connection.h"

namespace gateway::test_support {

// A listener on a free loopback port that accepts a connection only when the test says so. With `places` 0
// its queue holds one connection, and further ones do not come up until that is taken.
class ManualListener {
 public:
  explicit ManualListener(int places = 64) {
    sockaddr_in at;
    fd_ = OpenLoopbackSocket(&at, 0);
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0);
    EXPECT_EQ(listen(fd_, places), 0);
    socklen_t size = sizeof(at);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
  }
  ~ManualListener() { close(fd_); }
  int port() const { return port_; }
  // Accepts the first connection of the queue, and waits for it.
  std::unique_ptr<TestConnection> Accept() {
    return std::make_unique<TestConnection>(accept(fd_, nullptr, nullptr));
  }
  // Whether a connection is in the queue.
  bool HasPending() const {
    pollfd ready{fd_, POLLIN, 0};
    return poll(&ready, 1, 0) > 0;
  }
  // All bytes that have come on the connections in the queue, whose other sides must have ended or be ending.
  std::string ReceiveAll() {
    std::string all;
    while (HasPending()) {
      auto connection = Accept();
      while (connection->Receive()) {
      }
      all += connection->unread;
    }
    return all;
  }

 private:
  int fd_ = -1, port_ = 0;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_MANUAL_LISTENER_H_
