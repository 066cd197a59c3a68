// A stand-in for discovery on loopback. It serves full endpoint lists, and watches that wait for changes, in
// the format of the protocol.
#ifndef GATEWAY_LAB_DISCOVERY_STUB_H_
#define GATEWAY_LAB_DISCOVERY_STUB_H_

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace gateway::lab {

// Serves on its own thread from construction to destruction. The public methods may be called from other
// threads.
class DiscoveryStub {
 public:
  // Lists `backends` backends. `changes_per_s` times per second one of them restarts, in cyclic order; 0
  // means that none restarts. Throws boost::system::system_error if no port can be opened.
  DiscoveryStub(int backends, double changes_per_s);
  ~DiscoveryStub();
  DiscoveryStub(const DiscoveryStub&) = delete;
  DiscoveryStub& operator=(const DiscoveryStub&) = delete;

  int port() const { return port_; }
  // Returns the full list before any change, as the body of a response.
  std::string InitialList() const;
  // Returns the bytes of all responses so far, including their headers.
  uint64_t bytes_sent() const { return bytes_sent_; }
  // Returns the number of requests received.
  uint64_t calls() const { return calls_; }

 private:
  class Session;

  void Accept();
  void ScheduleChange();
  std::string FullList(uint64_t index) const;
  // Returns the changes after the index `after_index`, as the body of a response.
  std::string ChangedSince(uint64_t after_index) const;

  const int backends_;
  const double changes_per_s_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer change_timer_;
  std::set<std::shared_ptr<Session>> sessions_;
  uint64_t index_ = 1;  // index of the list; each change increments it
  int port_ = 0;
  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> calls_{0};
  std::thread thread_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_DISCOVERY_STUB_H_
