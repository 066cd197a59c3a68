// Reads the kernel's table of the TCP sockets of all processes in this network namespace.
#ifndef GATEWAY_TESTS_SUPPORT_TCP_TABLE_H_
#define GATEWAY_TESTS_SUPPORT_TCP_TABLE_H_

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <initializer_list>
#include <string>
#include <thread>
#include <vector>

#include "support/time_limit.h"

namespace gateway::test_support {

// Socket states that tests check, with the kernel's numbers.
enum class TcpState : unsigned { kSynSent = 0x02, kListening = 0x0A };

struct TcpSocket {
  unsigned local_port = 0;
  unsigned remote_port = 0;
  TcpState state{};
  unsigned unread_bytes = 0;
  unsigned long inode = 0;  // identifies the socket in /proc/<pid>/fd
};

inline std::vector<TcpSocket> TcpTable() {
  std::ifstream table("/proc/net/tcp");
  std::vector<TcpSocket> sockets;
  for (std::string line; std::getline(table, line);) {
    TcpSocket socket;
    unsigned state = 0;
    // The columns are: entry number, local address, remote address, state, unsent and unread bytes, timer,
    // retransmissions, user id, timeout and inode.
    constexpr char kFormat[] = " %*d: %*x:%x %*x:%x %x %*x:%x %*x:%*x %*x %*u %*d %lu";
    constexpr int kFields = 5;  // sscanf reads none of them from the heading of the table
    int fields = std::sscanf(line.c_str(), kFormat, &socket.local_port, &socket.remote_port, &state,
                             &socket.unread_bytes, &socket.inode);
    if (fields != kFields) continue;
    socket.state = static_cast<TcpState>(state);
    sockets.push_back(socket);
  }
  return sockets;
}

// Whether a connection to `port` is being established.
inline bool IsConnecting(int port) {
  std::vector<TcpSocket> table = TcpTable();
  return std::any_of(table.begin(), table.end(), [port](const TcpSocket& socket) {
    return socket.remote_port == static_cast<unsigned>(port) && socket.state == TcpState::kSynSent;
  });
}

// Waits until a connection to `port` is being established or, if `connecting` is false, until none is.
// Returns after kWaitTimeoutS in any case.
inline void AwaitConnecting(int port, bool connecting = true) {
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
  while (IsConnecting(port) != connecting && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::yield();
  }
}

// Whether bytes from a peer at `port` have been received but not yet read by the application.
inline bool HasUnreadBytesFrom(int port) {
  std::vector<TcpSocket> table = TcpTable();
  return std::any_of(table.begin(), table.end(), [port](const TcpSocket& socket) {
    return socket.remote_port == static_cast<unsigned>(port) && socket.unread_bytes > 0;
  });
}

// Waits until a socket has unread bytes from a peer at one of the ports. Returns after kWaitTimeoutS in any
// case.
inline void AwaitUnreadBytes(std::initializer_list<int> ports) {
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
  while (std::none_of(ports.begin(), ports.end(), HasUnreadBytesFrom) &&
         std::chrono::steady_clock::now() < deadline) {
    std::this_thread::yield();
  }
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TCP_TABLE_H_
