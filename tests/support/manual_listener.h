// A listener that accepts connections only when the test tells it to.
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

// Listens on a free loopback port. Connections stay in the accept queue until the test calls Accept(). With a
// `backlog` of 0 the queue holds one connection, and further ones are not established until that one is
// accepted.
class ManualListener {
 public:
  explicit ManualListener(int backlog = 64) {
    sockaddr_in address;
    fd_ = OpenLoopbackSocket(&address, 0);
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    EXPECT_EQ(listen(fd_, backlog), 0);
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
  }
  ~ManualListener() { close(fd_); }
  int port() const { return port_; }
  // Accepts the first connection of the accept queue. Blocks until there is one.
  std::unique_ptr<TestConnection> Accept() {
    return std::make_unique<TestConnection>(accept(fd_, nullptr, nullptr));
  }
  // Whether a connection is in the accept queue.
  bool HasPending() const {
    pollfd ready{fd_, POLLIN, 0};
    return poll(&ready, 1, 0) > 0;
  }
  // Accepts all connections of the accept queue and returns the bytes received on them. The peers must have
  // closed these connections or be about to close them.
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
