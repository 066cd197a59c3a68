// A hollow discovery agent on loopback, by the published form: whole lists, and watches that wait for
// changes.
#ifndef GATEWAY_LAB_AGENT_H_
#define GATEWAY_LAB_AGENT_H_

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace gateway::lab {

class Agent {
 public:
  // Serves a list of `backends`, of which one changes `changes_per_s` times a second.
  Agent(int backends, double changes_per_s);
  ~Agent();
  Agent(const Agent&) = delete;
  Agent& operator=(const Agent&) = delete;

  int port() const { return port_; }
  std::string Whole() const;  // the list as it stands at the start
  uint64_t bytes() const { return bytes_; }
  uint64_t calls() const { return calls_; }

 private:
  class Session;
  std::string List(bool whole, uint64_t after) const;
  void Change();

  const int backends_;
  const double changes_per_s_;
  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer timer_;
  std::set<std::shared_ptr<Session>> sessions_;
  uint64_t index_ = 1;
  int port_ = 0;
  std::atomic<uint64_t> bytes_{0}, calls_{0};
  std::thread thread_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_AGENT_H_
