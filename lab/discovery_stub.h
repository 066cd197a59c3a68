// A stand-in for discovery on loopback: full endpoint lists, and watches that wait for changes, in the form
// that the protocol gives them.
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

// Serves on a thread of its own from construction to destruction. The public methods may be called from other
// threads.
class DiscoveryStub {
 public:
  // Lists `backends`, of which one restarts `changes_per_s` times a second (0: never), each in its turn.
  // Throws boost::system::system_error where no port can be opened.
  DiscoveryStub(int backends, double changes_per_s);
  ~DiscoveryStub();
  DiscoveryStub(const DiscoveryStub&) = delete;
  DiscoveryStub& operator=(const DiscoveryStub&) = delete;

  int port() const { return port_; }
  // The full list before any change, as the body of a reply.
  std::string InitialList() const;
  // Of all replies, heads included.
  uint64_t bytes_sent() const { return bytes_sent_; }
  // Requests received.
  uint64_t calls() const { return calls_; }

 private:
  class Session;

  void Accept();
  void ScheduleChange();
  std::string FullList(uint64_t index) const;
  // What changed after the index `after`.
  std::string ChangedSince(uint64_t after) const;

  const int backends_;
  const double changes_per_s_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer change_timer_;
  std::set<std::shared_ptr<Session>> sessions_;
  uint64_t index_ = 1;  // of the list; one more with each change
  int port_ = 0;
  std::atomic<uint64_t> bytes_sent_{0};
  std::atomic<uint64_t> calls_{0};
  std::thread thread_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_DISCOVERY_STUB_H_
