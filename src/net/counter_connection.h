// One connection to the counter and the calls that are in flight on it.
#ifndef GATEWAY_NET_COUNTER_CONNECTION_H_
#define GATEWAY_NET_COUNTER_CONNECTION_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "net/clock.h"
#include "net/resp2_codec.h"
#include "net/socket_util.h"
#include "net/unread_bytes_grace.h"
#include "policy/events.h"

namespace gateway::net {

// A call to the counter. It is shared by the client, which enforces its timeout, and the connection, which
// waits for its reply. After its timeout the call stays on the connection, so that its late reply is not
// taken for the reply to the next call.
struct CounterCall {
  uint64_t key = 0;
  Clock::time_point deadline{};
  bool ended = false;    // its result has been reported
  bool written = false;  // it was written to the socket, perhaps in part; the amount may have been added

  // Returns the result of a call that gets no reply.
  policy::CallResult ResultWithoutReply() const {
    return written ? policy::CallResult::kTimeout : policy::CallResult::kConnectFailed;
  }
};

// Pipelines calls; replies arrive in the order of the calls. A connection must be owned by a std::shared_ptr,
// whose ownership its pending operations share.
class CounterConnection : public std::enable_shared_from_this<CounterConnection> {
 public:
  // Receives the events of the connection; implemented by the client. It must outlive the connection or call
  // Detach().
  class Owner {
   public:
    virtual void OnConnected() = 0;
    // Called for each call of the connection, including calls that have already ended by their timeout.
    virtual void OnCallEnded(const std::shared_ptr<CounterCall>& call, policy::CallResult result,
                             double total) = 0;
    // Called when the connection closes. It accepts no further calls, and its remaining calls end after this
    // function has returned. `unreachable` is true if nothing answers at the address. It is false if the
    // counter sent a malformed reply or reset the connection, because it can be called on another connection
    // immediately.
    virtual void OnConnectionClosed(CounterConnection* connection, bool unreachable) = 0;

   protected:
    ~Owner() = default;
  };

  struct Options {
    tcp::endpoint address;
    Clock::duration connect_timeout{};
    // The connection is closed after this time without a complete reply while calls are in flight.
    Clock::duration max_silence{};
  };

  CounterConnection(asio::io_context& io, const Options& options, Owner* owner);

  // Must be called once, before any other function. Never calls the owner within this call.
  void Connect();

  // Writes the call immediately, or as soon as the connection is established. Never calls the owner within
  // this call.
  void Add(std::shared_ptr<CounterCall> call, std::string command);

  // Closes the connection when all calls in flight are answered, or immediately if it is not established or
  // has no calls in flight. No further call may be added.
  void Drain();

  // Closes the connection and ends its calls. Does nothing if the connection is already closed.
  void Close(bool unreachable);

  // Closes the connection without calling the owner. For use in the owner's destructor.
  void Detach();

  bool open() const { return state_ == State::kOpen; }
  bool closed() const { return state_ == State::kClosed; }
  size_t calls_in_flight() const { return calls_.size(); }

  // Returns whether the timeout of a call, which is due, has to wait until bytes have been read.
  bool MustReadFirst() { return MustReadFirst(&timeout_grace_); }
  // Must be called when no timeout of a call is due any more.
  void ResetTimeoutGrace() { timeout_grace_.Reset(); }

  // Returns whether an open connection can accept a call. Detects that the counter has closed an idle
  // connection even if the event loop has not yet handled that event.
  bool IsUsable() { return !calls_.empty() || !IsStale(socket_); }

 private:
  enum class State { kConnecting, kOpen, kDraining, kClosed };

  void OnConnectEnded(error_code error);
  void Write();
  void Read();
  void OnReceived(size_t size);
  bool ProcessReplies();
  bool MustReadFirst(UnreadBytesGrace* grace);
  void ArmSilenceTimer();
  void OnSilenceTimer();

  static constexpr size_t kReadBufferBytes = 1024;

  asio::io_context& io_;
  const Options options_;
  Owner* const owner_;
  State state_ = State::kConnecting;
  tcp::socket socket_;
  asio::steady_timer timer_;                        // connect timeout, then the silence limit
  std::deque<std::shared_ptr<CounterCall>> calls_;  // calls without a reply, in the order they were added
  std::deque<std::string> queued_commands_;         // commands of calls_ while connecting
  std::string unsent_commands_;                     // commands to write after the current write
  std::string sending_;                             // commands of the current write
  size_t sent_bytes_ = 0;                           // part of sending_ that was handed to the kernel
  bool writing_ = false;
  char read_buffer_[kReadBufferBytes];
  TallyReplyDecoder decoder_;
  uint64_t read_bytes_ = 0;
  UnreadBytesGrace timeout_grace_, silence_grace_;
  // When a reply was last decoded, or, if later, when the connection was established or a call was added to a
  // connection that had none in flight.
  Clock::time_point last_reply_at_{};
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_COUNTER_CONNECTION_H_
