// One exchange with discovery's agent, which consists of a request for the endpoint list and its response.
#ifndef GATEWAY_NET_DISCOVERY_EXCHANGE_H_
#define GATEWAY_NET_DISCOVERY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "net/clock.h"
#include "net/response_reader.h"
#include "net/socket_util.h"
#include "net/unread_bytes_grace.h"

namespace gateway::net {

// Sends one request on the connection of the previous exchange or on a new one and reads the response.
// Interim responses are skipped.
//
// The owner and the pending operations of the exchange share its ownership. The exchange ends with
// OnResponse, OnFailed or Abort(); no callback is called after that.
class DiscoveryExchange : public std::enable_shared_from_this<DiscoveryExchange> {
 public:
  // Receives the events of the exchange. Its functions are called within Start() or within a handler of the
  // exchange's socket or timer.
  class Owner {
   public:
    // Called when a complete response with status 200 has been received.
    virtual void OnResponse(DiscoveryExchange* exchange) = 0;
    // Called once, when the agent has been silent for so long that the owner should start another exchange.
    // This exchange continues until its response timeout unless the owner aborts it.
    virtual void OnOverdue(DiscoveryExchange* exchange) = 0;
    // Called when the exchange has ended without a usable response and its connection has been closed.
    virtual void OnFailed(DiscoveryExchange* exchange) = 0;

   protected:
    ~Owner() = default;
  };

  struct Request {
    std::string text;
    bool watch = false;          // false for a poll for the full list
    Clock::duration max_wait{};  // time for which the agent may wait for a change
  };

  struct Timeouts {
    // Both are in addition to the time for which the agent may wait for a change.
    Clock::duration silence;   // time without a byte
    Clock::duration response;  // time until the response is complete
  };

  // `connection` is the connection of an earlier exchange or a closed socket. `owner` must outlive the
  // exchange or abort it.
  DiscoveryExchange(Owner* owner, tcp::socket connection, const tcp::endpoint& address, Request request,
                    const Timeouts& timeouts);

  // Must be called exactly once.
  void Start();

  // Ends the exchange without a callback and closes its connection.
  void Abort();

  bool watch() const { return request_.watch; }
  Clock::time_point started_at() const { return started_at_; }

  // The response's body. Only valid in OnResponse.
  const std::string& body() const { return response_.message().body(); }
  // Releases the connection, which is closed if it cannot be reused. Only valid in OnResponse.
  tcp::socket TakeConnection();

 private:
  enum class State { kNew, kConnecting, kReceiving, kEnded };

  void Connect();
  void Send();
  void Receive();
  void OnReceived(error_code error, size_t size);
  void OnResponseComplete();
  void Fail();
  void ArmTimer();
  void ArmTimerAt(Clock::time_point when);
  void OnTimer();
  bool MustReadFirst();

  Owner* const owner_;
  const tcp::endpoint address_;
  const Request request_;
  const Timeouts timeouts_;
  const Clock::time_point started_at_;
  const Clock::time_point response_deadline_;
  State state_ = State::kNew;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  ResponseReader response_;
  Clock::duration max_silence_;  // limit of the wait for the next byte
  bool overdue_ = false;
  uint64_t read_bytes_ = 0;
  UnreadBytesGrace timeout_grace_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_DISCOVERY_EXCHANGE_H_
