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

#include "support/time_limit.h"

namespace gateway::test_support {

// Whether a connection to `port` is still to come up.
inline bool IsConnecting(int port) {
  std::ifstream table("/proc/net/tcp");
  char wanted[16];
  std::snprintf(wanted, sizeof(wanted), ":%04X 02 ", port);  // remote address, SYN sent
  for (std::string line; std::getline(table, line);) {
    if (line.find(wanted) != std::string::npos) return true;
  }
  return false;
}

// Waits until a connection to `port` is being opened, or until none is any more.
inline void AwaitConnecting(int port, bool connecting = true) {
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(kLimitS);
  while (IsConnecting(port) != connecting && std::chrono::steady_clock::now() < limit) {
    std::this_thread::yield();
  }
}

// Whether bytes from a peer at `port` have come that their receiver has not read yet.
inline bool HasArrived(int port) {
  std::ifstream table("/proc/net/tcp");
  std::string line;
  std::getline(table, line);
  while (std::getline(table, line)) {
    unsigned remote = 0, unread = 0;
    // sl, local address, remote address, state, bytes unsent and unread
    if (std::sscanf(line.c_str(), " %*d: %*x:%*x %*x:%x %*x %*x:%x", &remote, &unread) == 2 &&
        remote == static_cast<unsigned>(port) && unread > 0) {
      return true;
    }
  }
  return false;
}

// Waits until unread bytes from one of the peers have come.
inline void AwaitArrival(std::initializer_list<int> ports) {
  auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(kLimitS);
  while (std::none_of(ports.begin(), ports.end(), HasArrived) && std::chrono::steady_clock::now() < limit) {
    std::this_thread::yield();
  }
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TCP_TABLE_H_
