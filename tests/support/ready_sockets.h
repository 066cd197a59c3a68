// Sockets that flood an event loop with events.
#ifndef GATEWAY_TESTS_SUPPORT_READY_SOCKETS_H_
#define GATEWAY_TESTS_SUPPORT_READY_SOCKETS_H_

#include <boost/asio.hpp>
#include <list>
#include <utility>

namespace gateway::test_support {

// Sockets on which an event loop waits. They are more than the event loop retrieves with one epoll_wait, so
// that a socket that becomes ready after them is only seen in a later iteration, after expired timers have
// run.
class ReadySockets {
 public:
  explicit ReadySockets(boost::asio::io_context& io) {
    constexpr int kSockets = 400;
    for (int i = 0; i < kSockets; ++i) {
      Socket& waiting = waiting_.emplace_back(io);
      Socket& peer = peers_.emplace_back(io);
      boost::asio::local::connect_pair(waiting, peer);
      waiting.async_wait(Socket::wait_read, [](boost::system::error_code) {});
    }
  }
  void MakeReady() {
    for (Socket& peer : peers_) boost::asio::write(peer, boost::asio::buffer("x", 1));
  }

 private:
  using Socket = boost::asio::local::stream_protocol::socket;
  std::list<Socket> waiting_;
  std::list<Socket> peers_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_READY_SOCKETS_H_
