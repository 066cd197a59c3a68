// Blocking TCP connections over the loopback interface, for clients and servers.
#ifndef GATEWAY_TESTS_SUPPORT_TEST_CONNECTION_H_
#define GATEWAY_TESTS_SUPPORT_TEST_CONNECTION_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <string>

#include "support/http_message.h"
#include "support/time_limit.h"

namespace gateway::test_support {

// Opens a TCP socket and sets `*address` to the loopback address with the port. Port 0 stands for any free
// port when a socket is bound to that address.
inline int OpenLoopbackSocket(sockaddr_in* address, int port) {
  *address = {};
  address->sin_family = AF_INET;
  address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address->sin_port = htons(static_cast<uint16_t>(port));
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

// One end of a blocking TCP connection. A read that takes longer than kWaitTimeoutS fails in the same way as
// at the end of the connection.
class TestConnection {
 public:
  explicit TestConnection(int fd) : fd_(fd) {
    timeval limit{kWaitTimeoutS, 0};
    setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  }
  ~TestConnection() { Close(); }
  TestConnection(const TestConnection&) = delete;
  TestConnection& operator=(const TestConnection&) = delete;
  // Connects to a loopback port.
  static std::unique_ptr<TestConnection> ConnectTo(int port) {
    sockaddr_in address;
    int fd = OpenLoopbackSocket(&address, port);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0) << std::strerror(errno);
    return std::make_unique<TestConnection>(fd);
  }
  void Write(const std::string& text) { (void)!send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  // Receives more bytes into `unread`. Returns false if the peer has closed the connection or the read
  // failed.
  bool Receive() {
    char part[65536];
    ssize_t n = recv(fd_, part, sizeof(part), 0);
    if (n > 0) unread.append(part, static_cast<size_t>(n));
    return n > 0;
  }
  // Returns the next message. It is incomplete if the connection ends within it.
  HttpMessage Read() {
    HttpMessage message;
    size_t end;
    while ((end = unread.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive()) return message;
    }
    message.head = unread.substr(0, end + 2);
    size_t length = static_cast<size_t>(std::atol(message.Header("Content-Length").c_str()));
    while (unread.size() < end + 4 + length) {
      if (!Receive()) return message;
    }
    message.body = unread.substr(end + 4, length);
    unread.erase(0, end + 4 + length);
    message.complete = true;
    return message;
  }
  // Waits until the connection ends or bytes arrive. Returns true if it has ended.
  bool AwaitEnd() { return !Receive(); }
  // Whether the peer has not closed the connection, or bytes that it sent before are still unread.
  bool IsOpen() const {
    char byte;
    ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || (n < 0 && errno == EAGAIN);
  }
  // Whether bytes have been received, or the connection has ended, so that a read does not block.
  bool IsReadable() const {
    pollfd ready{fd_, POLLIN, 0};
    return poll(&ready, 1, 0) > 0;
  }
  // Shuts down both directions, so that a thread that is blocked in a read returns.
  void Stop() { shutdown(fd_, SHUT_RDWR); }
  void HalfClose() { shutdown(fd_, SHUT_WR); }
  // Closes the connection with a reset, even if data is still unread or unsent.
  void Reset() {
    linger discard_unsent{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &discard_unsent, sizeof(discard_unsent));
    Close();
  }
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  std::string unread;  // bytes received but not yet returned by Read() as part of a message

 private:
  int fd_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TEST_CONNECTION_H_
