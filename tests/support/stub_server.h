// A TCP server that runs in the test process.
#ifndef GATEWAY_TESTS_SUPPORT_STUB_SERVER_H_
#define GATEWAY_TESTS_SUPPORT_STUB_SERVER_H_

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include "support/test_connection.h"

namespace gateway::test_support {

// Accepts connections on a free loopback port and runs `handler` for each one on a separate thread. The
// connection is shut down when the handler returns.
class StubServer {
 public:
  using Handler = std::function<void(TestConnection&)>;
  explicit StubServer(Handler handler) : handler_(std::move(handler)) {
    sockaddr_in address;
    fd_ = OpenLoopbackSocket(&address, 0);
    EXPECT_EQ(bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
    EXPECT_EQ(listen(fd_, 256), 0);
    socklen_t size = sizeof(address);
    getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
    port_ = ntohs(address.sin_port);
    accept_thread_ = std::thread([this] {
      for (;;) {
        int fd = accept(fd_, nullptr, nullptr);
        if (fd < 0) return;
        std::lock_guard lock(mutex_);
        if (stopping_) return void(close(fd));
        ++connections;
        accepted_connections_.push_back(std::make_unique<TestConnection>(fd));
        handler_threads_.emplace_back([this, connection = accepted_connections_.back().get()] {
          handler_(*connection);
          connection->Stop();
        });
      }
    });
  }
  ~StubServer() { Stop(); }
  // Shuts down all connections and waits for their handlers.
  void Stop() {
    if (fd_ < 0) return;
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
      for (auto& connection : accepted_connections_) connection->Stop();
    }
    shutdown(fd_, SHUT_RDWR);
    accept_thread_.join();
    for (auto& thread : handler_threads_) thread.join();
    close(fd_);
    fd_ = -1;
  }
  int port() const { return port_; }
  std::atomic<int> connections{0};  // number of connections accepted so far

 private:
  Handler handler_;
  int fd_ = -1, port_ = 0;
  std::mutex mutex_;
  bool stopping_ = false;
  std::vector<std::unique_ptr<TestConnection>> accepted_connections_;
  std::vector<std::thread> handler_threads_;
  std::thread accept_thread_;
};

// Returns a port on which nothing listens.
inline int UnusedPort() {
  return StubServer([](TestConnection&) {}).port();
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_STUB_SERVER_H_
