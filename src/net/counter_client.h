// Calls to the counter that all gateways share, pipelined on few connections.
#ifndef GATEWAY_NET_COUNTER_CLIENT_H_
#define GATEWAY_NET_COUNTER_CLIENT_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "net/clock.h"
#include "net/counter_connection.h"
#include "net/socket_util.h"
#include "policy/events.h"

namespace gateway::net {

// Each call ends exactly once: kOk with the total, or without one kRejected or kConnectFailed (nothing was
// added) or kTimeout (the amount may have been added, or may yet be).
class CounterClient : private CounterConnection::Owner {
 public:
  // Called from the event loop, and within SwitchTo() for calls that it ends. May call Call().
  using OnReply = std::function<void(policy::CounterReply)>;

  CounterClient(asio::io_context& io, const tcp::endpoint& address, double timeout_s,
                double connect_timeout_s, OnReply on_reply);
  ~CounterClient();
  CounterClient(const CounterClient&) = delete;
  CounterClient& operator=(const CounterClient&) = delete;

  // Opens a first connection, so that the first call need not wait for it.
  void Start();

  // Adds `amount` to the number of `key`, which lives for `expiry_s` where it is new.
  void Call(uint64_t key, double amount, double expiry_s);

  // Further calls go to another address. Those in flight are still answered by the previous counter.
  void SwitchTo(const tcp::endpoint& address);

 private:
  CounterConnection* PickConnection();
  CounterConnection* AddConnection();
  void EndCall(const std::shared_ptr<CounterCall>& call, policy::CallResult result, double total);
  void ArmTimeouts();
  void EndOverdueCalls();
  bool HasUnreadReplies() const;

  // CounterConnection::Owner.
  void OnConnected() override { backoff_ = {}; }
  void OnCallEnded(const std::shared_ptr<CounterCall>& call, policy::CallResult result,
                   double total) override {
    EndCall(call, result, total);
  }
  void OnConnectionClosed(CounterConnection* connection, bool unreachable) override;

  asio::io_context& io_;
  tcp::endpoint address_;
  const Clock::duration timeout_, max_silence_, connect_timeout_;
  const OnReply on_reply_;
  std::vector<std::shared_ptr<CounterConnection>> connections_;
  std::vector<std::shared_ptr<CounterConnection>> draining_;  // to an address before
  std::deque<std::shared_ptr<CounterCall>> calls_;            // by deadline: every call has the same time-out
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  Clock::duration backoff_{};
  Clock::time_point no_connect_before_{};
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_COUNTER_CLIENT_H_
