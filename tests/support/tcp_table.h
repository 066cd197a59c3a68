// What the kernel's table of TCP connections says, of all processes in this network namespace.
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

// The states of a socket that tests ask for, as the kernel numbers them.
enum class TcpState : unsigned { kSynSent = 0x02, kListening = 0x0A };

struct TcpSocket {
  unsigned local_port = 0;
  unsigned remote_port = 0;
  TcpState state{};
  unsigned unread_bytes = 0;
  unsigned long inode = 0;  // names the socket in /proc/<pid>/fd
};

inline std::vector<TcpSocket> TcpTable() {
  std::ifstream table("/proc/net/tcp");
  std::vector<TcpSocket> sockets;
  for (std::string line; std::getline(table, line);) {
    TcpSocket socket;
    unsigned state = 0;
    // sl, local and remote address, state, bytes unsent and unread, timer, retransmits, uid, timeout, inode
    constexpr char kFormat[] = " %*d: %*x:%x %*x:%x %x %*x:%x %*x:%*x %*x %*u %*d %lu";
    constexpr int kFields = 5;  // the table's heading has none of them
    int fields = std::sscanf(line.c_str(), kFormat, &socket.local_port, &socket.remote_port, &state,
                             &socket.unread_bytes, &socket.inode);
    if (fields != kFields) continue;
    socket.state = static_cast<TcpState>(state);
    sockets.push_back(socket);
  }
  return sockets;
}

// Whether a connection to `port` is still to come up.
inline bool IsConnecting(int port) {
  std::vector<TcpSocket> table = TcpTable();
  return std::any_of(table.begin(), table.end(), [port](const TcpSocket& socket) {
    return socket.remote_port == static_cast<unsigned>(port) && socket.state == TcpState::kSynSent;
  });
}

// Waits until a connection to `port` is being opened, or until none is any more.
inline void AwaitConnecting(int port, bool connecting = true) {
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
  while (IsConnecting(port) != connecting && std::chrono::steady_clock::now() < limit) {
    std::this_thread::yield();
  }
}

// Whether bytes from a peer at `port` have come that their receiver has not read yet.
inline bool HasUnreadBytesFrom(int port) {
  std::vector<TcpSocket> table = TcpTable();
  return std::any_of(table.begin(), table.end(), [port](const TcpSocket& socket) {
    return socket.remote_port == static_cast<unsigned>(port) && socket.unread_bytes > 0;
  });
}

// Waits until unread bytes from one of the peers have come.
inline void AwaitUnreadBytes(std::initializer_list<int> ports) {
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
  while (std::none_of(ports.begin(), ports.end(), HasUnreadBytesFrom) &&
         std::chrono::steady_clock::now() < limit) {
    std::this_thread::yield();
  }
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TCP_TABLE_H_
