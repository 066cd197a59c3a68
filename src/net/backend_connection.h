// One connection to a backend, and the attempt that is on it.
#ifndef GATEWAY_NET_BACKEND_CONNECTION_H_
#define GATEWAY_NET_BACKEND_CONNECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "net/attempt_result.h"
#include "net/clock.h"
#include "net/http_framing.h"
#include "net/socket_util.h"

namespace gateway::net {

// Makes the request's message. Called once, just before the first byte is written; `left_s` is what is left
// of the attempt's timeout then, in s.
using SerializeFn = std::function<std::string(double left_s)>;
// Receives the outcome of an attempt.
using CompletionFn = std::function<void(AttemptResult)>;
// Whether anybody still waits for the attempt. Called after each wait, before more bytes are written; must
// not call the pool.
using StillWantedFn = std::function<bool()>;

// What a connection needs to know of one attempt.
struct BackendAttempt {
  uint64_t id = 0;
  SerializeFn serialize;
  double timeout_s = 0;
  CompletionFn on_complete;
  StillWantedFn still_wanted;
};

// One HTTP/1.1 connection that carries one attempt at a time.
//
// States and transitions:
// - kNew to kConnecting: Begin.
// - kConnecting to kExchanging: the connection is up and its attempt may still be sent.
// - kExchanging to kIdle: the exchange is complete, and backend and owner keep the connection.
// - kIdle to kExchanging: Begin.
// - any to kClosed: an attempt ends in any other way, the backend closes, or the owner calls Close or Abort.
//
// Ownership: the owner and the pending operations of the connection share it. The owner holds a reference
// while an attempt is on it or it is idle. The owner must close all connections before it is destroyed; once
// Close or Abort has returned no callback runs.
//
// A read is pending in every state from kExchanging on, so that the end of an idle connection, or bytes that
// nobody asked for, are seen while it is idle.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  // What a connection asks of the pool, and tells it. None of these may call back into the connection.
  class Owner {
   public:
    // Called when a connection has come up: whether its backend may still be sent a new request at its
    // address.
    virtual bool MaySend(const BackendConnection& connection) const = 0;
    // The attempt has ended or is cancelled. Called before the connection is closed or becomes idle, and
    // before the attempt's completion runs.
    virtual void OnAttemptEnded(uint64_t attempt) = 0;
    // Offers a connection whose exchange is complete. True: the owner keeps it as idle; false: it is closed.
    virtual bool KeepIdle(std::shared_ptr<BackendConnection> connection) = 0;
    // An idle connection is about to be closed, by its backend or as its idle time is over. The owner drops
    // its reference.
    virtual void OnIdleEnded(BackendConnection* connection) = 0;
    // The socket is closed. Called once for each connection.
    virtual void OnClosed() = 0;

   protected:
    ~Owner() = default;
  };

  struct Timeouts {
    Clock::duration connect{};
    Clock::duration idle{};  // after the last response, until the connection is closed
  };

  BackendConnection(asio::io_context& io, Owner* owner, const Timeouts& timeouts, uint32_t backend,
                    const tcp::endpoint& address);
  ~BackendConnection() { Close(); }
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  uint32_t backend() const { return backend_; }
  const tcp::endpoint& address() const { return address_; }

  // Puts an attempt on a connection that is new or idle. The completion runs exactly once, never within this
  // call, unless Abort ends the attempt.
  void Begin(BackendAttempt attempt);

  // Ends the attempt without its completion, and closes the connection.
  void Abort();

  // Closes the socket at once; no-op when closed. The completion of an attempt does not run: see Abort.
  void Close();

  // Whether the last byte of the attempt's request has been handed to the kernel. From then on it may have
  // run.
  bool IsRequestWritten() const;

  // Whether bytes of a response to its attempt have come that were not read yet, as in a process that was
  // held up.
  bool HasUnreadResponse() { return state_ == State::kExchanging && HasUnreadBytes(socket_); }

  // Whether it is idle and its backend has neither closed it nor written to it.
  bool IsReusable();

  // Whether an idle connection has been idle for so long.
  bool HasBeenIdleFor(Clock::duration duration) const { return Clock::now() >= idle_since_ + duration; }

 private:
  enum class State { kNew, kConnecting, kExchanging, kIdle, kClosed };

  bool HasAttempt() const { return state_ == State::kConnecting || state_ == State::kExchanging; }
  bool IsCarrying(uint64_t attempt) const { return HasAttempt() && attempt_.id == attempt; }

  void Connect();
  void OnConnected(error_code error);
  void WriteRequest();
  void OnWriteEnded(uint64_t attempt, error_code error);
  void Read();
  void OnReadError(error_code error);
  void ParseResponse();
  void SetDeadline(Clock::time_point when);
  void OnDeadline();
  bool HasEventAhead();
  void CloseIdle();
  void OnResponse(bool reusable);
  void Fail(policy::CallResult result);
  void Complete(AttemptResult end, bool reusable);

  asio::io_context& io_;
  Owner* const owner_;
  const Timeouts& timeouts_;
  const uint32_t backend_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  asio::steady_timer timer_;  // of the connect, then of the attempt, then of the idle connection
  boost::beast::flat_buffer buffer_{kMaxBodyBytes + kMaxHeaderBytes};
  std::optional<http::response_parser<http::string_body>> parser_;
  State state_ = State::kNew;
  bool read_pending_ = false;

  BackendAttempt attempt_;  // the last one; its functions are empty when it has ended
  std::string message_;     // its request, until that is written
  size_t written_bytes_ = 0, message_bytes_ = 0;
  int interim_responses_ = 0;
  Clock::time_point began_at_, give_up_at_, idle_since_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_CONNECTION_H_
