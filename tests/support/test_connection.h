// Blocking TCP connections over loopback, of either side.
#ifndef GATEWAY_TESTS_SUPPORT_TEST_CONNECTION_H_
#define GATEWAY_TESTS_SUPPORT_TEST_CONNECTION_H_

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
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

// Opens a TCP socket. `*at` becomes the loopback address with the port; 0 stands for any free port.
inline int OpenLoopbackSocket(sockaddr_in* at, int port) {
  *at = {};
  at->sin_family = AF_INET;
  at->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  at->sin_port = htons(static_cast<uint16_t>(port));
  return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

// One end of a blocking TCP connection, of a client or of a server. A read that takes longer than
// kWaitTimeoutS fails as the connection's end would.
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
    sockaddr_in at;
    int fd = OpenLoopbackSocket(&at, port);
    EXPECT_EQ(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at)), 0) << std::strerror(errno);
    return std::make_unique<TestConnection>(fd);
  }
  void Write(const std::string& text) { (void)!send(fd_, text.data(), text.size(), MSG_NOSIGNAL); }
  // Receives more bytes into `unread`. False at the connection's end.
  bool Receive() {
    char part[65536];
    ssize_t n = recv(fd_, part, sizeof(part), 0);
    if (n > 0) unread.append(part, static_cast<size_t>(n));
    return n > 0;
  }
  // The next message. Not whole where the connection ends within it.
  HttpMessage Read() {
    HttpMessage m;
    size_t end;
    while ((end = unread.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive()) return m;
    }
    m.head = unread.substr(0, end + 2);
    size_t length = static_cast<size_t>(std::atol(m.Header("Content-Length").c_str()));
    while (unread.size() < end + 4 + length) {
      if (!Receive()) return m;
    }
    m.body = unread.substr(end + 4, length);
    unread.erase(0, end + 4 + length);
    m.complete = true;
    return m;
  }
  // Waits for the other side's end of the connection; true if nothing more came before it.
  bool AwaitEnd() { return !Receive(); }
  // Whether the other side has not ended the connection, or has sent bytes before that.
  bool IsOpen() const {
    char byte;
    ssize_t n = recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 || (n < 0 && errno == EAGAIN);
  }
  // Ends both directions, so that a thread that reads from it returns.
  void Stop() { shutdown(fd_, SHUT_RDWR); }
  void HalfClose() { shutdown(fd_, SHUT_WR); }
  // Ends the connection by a reset, whatever is still unread or unsent.
  void Reset() {
    linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  int fd() const { return fd_; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  std::string unread;  // bytes received and not yet part of a message that Read returned

 private:
  int fd_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TEST_CONNECTION_H_
