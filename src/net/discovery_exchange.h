// One exchange with discovery's agent: a request for the endpoint list and its response.
#ifndef GATEWAY_NET_DISCOVERY_EXCHANGE_H_
#define GATEWAY_NET_DISCOVERY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>

#include "net/clock.h"
#include "net/http_framing.h"
#include "net/socket_util.h"

namespace gateway::net {

// Sends one request, on a connection of the exchange before or on a new one, and reads the response to it.
// Interim responses are passed over.
//
// Ownership: the owner and the pending operations of the exchange share it. It ends with OnResponse,
// OnFailed or Abort(); no callback comes after that.
class DiscoveryExchange : public std::enable_shared_from_this<DiscoveryExchange> {
 public:
  // Always called within a handler of the exchange, or within Start().
  class Owner {
   public:
    // A complete response with status 200 has come.
    virtual void OnResponse(DiscoveryExchange* exchange) = 0;
    // The agent has been silent for too long to go by this exchange alone. Called once. The exchange goes on
    // until its response's time is over, unless the owner aborts it.
    virtual void OnOverdue(DiscoveryExchange* exchange) = 0;
    // The exchange has ended without a response that can be used; its connection is closed.
    virtual void OnFailed(DiscoveryExchange* exchange) = 0;

   protected:
    ~Owner() = default;
  };

  struct Request {
    std::string text;
    bool watch = false;          // else a poll for the full list
    Clock::duration may_wait{};  // how long the agent may wait for a change
  };

  struct Timeouts {
    Clock::duration silence;   // without a byte, beyond what the agent may wait
    Clock::duration response;  // until the response is complete, beyond what the agent may wait
  };

  // `connection`: of an earlier exchange, or a closed socket. `owner` outlives the exchange or aborts it.
  DiscoveryExchange(Owner* owner, tcp::socket connection, const tcp::endpoint& address, Request request,
                    const Timeouts& timeouts);

  // Call once.
  void Start();

  // Ends the exchange without a callback and closes its connection.
  void Abort();

  bool watch() const { return request_.watch; }
  Clock::time_point began_at() const { return began_at_; }

  // In OnResponse: the response's body, and the connection, closed where it cannot be used again.
  const std::string& body() const { return parser_->get().body(); }
  tcp::socket TakeConnection();

 private:
  enum class State { kNew, kConnecting, kReceiving, kEnded };

  void Connect();
  void Send();
  void Receive();
  void OnBytes(error_code error, size_t size);
  error_code ParseReceived();
  void OnResponseComplete();
  void Fail();
  void AwaitBytes();
  void OnTimer();

  Owner* const owner_;
  const tcp::endpoint address_;
  const Request request_;
  const Timeouts timeouts_;
  const Clock::time_point began_at_;
  const Clock::time_point response_deadline_;
  State state_ = State::kNew;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  int interim_responses_ = 0;
  Clock::duration max_silence_;  // until the next byte
  bool overdue_ = false;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_DISCOVERY_EXCHANGE_H_
