// The client of the counter that all gateways share. Calls are pipelined on a small number of connections.
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

// Each call ends exactly once, with one of these results:
// - kOk: the reply holds the total.
// - kRejected or kConnectFailed: nothing was added.
// - kTimeout: the amount may have been added or may still be added.
class CounterClient : private CounterConnection::Owner {
 public:
  // Called from the event loop, and within SwitchTo() for calls that it ends. The callback may call Call().
  using OnReply = std::function<void(policy::CounterReply)>;

  CounterClient(asio::io_context& io, const tcp::endpoint& address, double timeout_s,
                double connect_timeout_s, OnReply on_reply);
  ~CounterClient();
  CounterClient(const CounterClient&) = delete;
  CounterClient& operator=(const CounterClient&) = delete;

  // Opens the first connection in advance, so that the first call does not have to wait for it.
  void Start();

  // Adds `amount` to the total of `key`. A new key expires after `expiry_s`.
  void Call(uint64_t key, double amount, double expiry_s);

  // Sends further calls to another address. Calls in flight are still answered by the previous counter.
  void SwitchTo(const tcp::endpoint& address);

 private:
  CounterConnection* PickConnection();
  CounterConnection* AddConnection();
  void EndCall(const std::shared_ptr<CounterCall>& call, policy::CallResult result, double total);
  void ArmTimer();
  void EndExpiredCalls();
  bool MustReadRepliesFirst() const;
  void ResetTimeoutGraces() const;

  // CounterConnection::Owner implementation.
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
  std::vector<std::shared_ptr<CounterConnection>> draining_;  // connections to previous addresses
  std::deque<std::shared_ptr<CounterCall>> calls_;  // ordered by deadline, as all calls have the same timeout
  asio::steady_timer timer_;
  bool timer_armed_ = false;
  Clock::duration backoff_{};
  Clock::time_point no_connect_before_{};
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_COUNTER_CLIENT_H_
