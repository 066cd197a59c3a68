// One HTTP/1.1 connection to a backend and the attempt that it carries.
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
#include "net/response_end_check.h"
#include "net/response_reader.h"
#include "net/socket_util.h"
#include "net/unread_bytes_grace.h"

namespace gateway::net {

// Serializes the request. Called once, just before the first byte is written. `time_left_s` is the part of
// the attempt's timeout that is left at that time.
using SerializeFn = std::function<std::string(double time_left_s)>;
// Receives the outcome of an attempt.
using CompletionFn = std::function<void(AttemptResult)>;
// Returns whether a client still waits for the attempt's response. Called after each wait, before more bytes
// are written. Must not call the pool.
using StillWantedFn = std::function<bool()>;

// One attempt, as a connection executes it.
struct BackendAttempt {
  uint64_t id = 0;
  SerializeFn serialize;
  double timeout_s = 0;
  CompletionFn on_complete;
  StillWantedFn still_wanted;
};

// One HTTP/1.1 connection that carries one attempt at a time.
//
// State transitions:
// - kNew to kConnecting: Begin is called.
// - kConnecting to kExchanging: the connection is established and its attempt may still be sent.
// - kExchanging to kIdle: the exchange is complete, and both the backend and the owner keep the connection.
// - kIdle to kExchanging: Begin is called.
// - Any state to kClosed: an attempt ends in any other way, the backend closes the connection, or the owner
//   calls Close or Abort.
//
// The owner and the pending operations of the connection share its ownership. The owner holds a reference
// while the connection carries an attempt or is idle. The owner must close all connections before it is
// destroyed. After Close or Abort has returned, no callback runs.
//
// A read is pending in kExchanging and kIdle, so that an idle connection notices when the backend closes it
// or sends bytes that belong to no request.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
 public:
  // Interface through which a connection queries and notifies the pool. Implementations must not call back
  // into the connection.
  class Owner {
   public:
    // Called when a connection has been established. Returns whether a new request may still be sent to its
    // backend, and to the incarnation of it that the connection was made to.
    virtual bool MaySend(const BackendConnection& connection) const = 0;
    // Called when the attempt has ended or been cancelled, before the connection is closed or becomes idle
    // and before the attempt's completion runs.
    virtual void OnAttemptEnded(uint64_t attempt) = 0;
    // Offers a connection whose exchange is complete. Returns true if the owner keeps it as idle; otherwise
    // the connection is closed.
    virtual bool KeepIdle(std::shared_ptr<BackendConnection> connection) = 0;
    // Called when an idle connection is about to be closed because the backend closed it or its idle timeout
    // has expired. The owner drops its reference.
    virtual void OnIdleClosing(BackendConnection* connection) = 0;
    // Called once for each connection, when its socket has been closed.
    virtual void OnClosed() = 0;

   protected:
    ~Owner() = default;
  };

  struct Timeouts {
    Clock::duration connect{};
    Clock::duration idle{};  // from the last response until the connection is closed
  };

  // `incarnation` is the owner's number for the process that the backend is when the connection is made.
  BackendConnection(asio::io_context& io, Owner* owner, const Timeouts& timeouts, uint32_t backend,
                    uint64_t incarnation, const tcp::endpoint& address);
  ~BackendConnection() { Close(); }
  BackendConnection(const BackendConnection&) = delete;
  BackendConnection& operator=(const BackendConnection&) = delete;

  uint32_t backend() const { return backend_; }
  uint64_t incarnation() const { return incarnation_; }

  // Starts an attempt. The connection must be new or idle. The completion runs exactly once, never within
  // this call, unless Abort ends the attempt.
  void Begin(BackendAttempt attempt);

  // Ends the attempt without calling its completion, and closes the connection.
  void Abort();

  // Ends the attempt with kConnectFailed, in a later handler, unless its request has been completely written
  // by then.
  void FailUnlessWritten();

  // Closes the socket immediately; does nothing if it is already closed. The completion of an attempt does
  // not run. To cancel an attempt, call Abort.
  void Close();

  // Returns whether the last byte of the attempt's request has been handed to the kernel. From then on the
  // request may have run.
  bool IsRequestWritten() const;

  // Returns whether a time-out of the attempt, which is due, has to wait until bytes of a response have been
  // read. They may have arrived before it, while the process was stalled.
  bool MustReadFirst(UnreadBytesGrace* grace);

  // Returns whether the connection is idle and the backend has neither closed it nor written to it.
  bool IsReusable();

  // Returns whether the connection has been idle for at least `duration`. Only valid for an idle connection.
  bool HasBeenIdleFor(Clock::duration duration) const { return Clock::now() >= idle_since_ + duration; }

 private:
  enum class State { kNew, kConnecting, kExchanging, kIdle, kClosed };

  bool HasAttempt() const { return state_ == State::kConnecting || state_ == State::kExchanging; }
  bool IsInFlight(uint64_t attempt) const { return HasAttempt() && attempt_.id == attempt; }

  void Connect();
  void OnConnected(error_code error);
  void WriteRequest();
  void OnWriteEnded(uint64_t attempt, error_code error);
  void Read();
  void OnReadError(error_code error);
  void ParseResponse();
  void CheckResponseEnd();
  bool HasReadEmptiedSocket() const { return reads_ == 1 && last_read_bytes_ < kReadChunkBytes; }
  void ArmTimer(Clock::time_point when);
  void OnTimer();
  bool MustHandleEventFirst();
  void CloseIdle();
  void OnResponse(bool reusable);
  void FailResponse(ResponseFault fault);
  void Fail(policy::CallResult result);
  void Complete(AttemptResult outcome, bool reusable);

  asio::io_context& io_;
  Owner* const owner_;
  const Timeouts& timeouts_;
  const uint32_t backend_;
  const uint64_t incarnation_;
  const tcp::endpoint address_;
  tcp::socket socket_;
  asio::steady_timer timer_;  // connect timeout, then the attempt's timeout, then the idle timeout
  boost::beast::flat_buffer buffer_{kMaxBodyBytes + kMaxHeaderBytes};
  std::optional<ResponseReader> response_;
  std::optional<ResponseEndCheck> response_end_;
  State state_ = State::kNew;
  bool read_pending_ = false;
  size_t reads_ = 0, last_read_bytes_ = 0;  // of the current or last exchange
  uint64_t read_bytes_ = 0;                 // of all exchanges
  UnreadBytesGrace timeout_grace_;          // for the attempt's timeout

  BackendAttempt attempt_;  // the current or last attempt; its functions are empty once it has ended
  std::string message_;     // the serialized request, until it is written
  size_t written_bytes_ = 0, message_bytes_ = 0;
  Clock::time_point started_at_, attempt_deadline_, idle_since_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_CONNECTION_H_
