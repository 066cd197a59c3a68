// One connection to the counter, with the calls that are in flight on it.
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
#include "policy/events.h"

namespace gateway::net {

// A call, shared by the client, which watches its time-out, and the connection, which awaits its reply. After
// its time-out it stays on the connection, so that its late reply is not taken for the next call's.
struct CounterCall {
  uint64_t key = 0;
  Clock::time_point deadline{};
  bool ended = false;    // its result was reported
  bool written = false;  // to the socket, perhaps in part: the amount may have been added

  // The result where no reply has come.
  policy::CallResult ResultWithoutReply() const {
    return written ? policy::CallResult::kTimeout : policy::CallResult::kConnectFailed;
  }
};

// Calls are pipelined, and their replies come in the order of the calls. Owned by a std::shared_ptr, which
// pending operations share.
class CounterConnection : public std::enable_shared_from_this<CounterConnection> {
 public:
  // The client. It outlives the connection or calls Detach().
  class Owner {
   public:
    virtual void OnConnected() = 0;
    // Called for each call of the connection, also for one that has ended by its time-out.
    virtual void OnCallEnded(const std::shared_ptr<CounterCall>& call, policy::CallResult result,
                             double total) = 0;
    // The connection takes no further call; its calls end next. `unreachable`: nothing answers at the
    // address. A counter that sent a malformed reply or reset a connection can be called on another one at
    // once.
    virtual void OnConnectionClosed(CounterConnection* connection, bool unreachable) = 0;

   protected:
    ~Owner() = default;
  };

  struct Options {
    tcp::endpoint address;
    Clock::duration connect_timeout{};
    // Without a byte while calls are in flight, until the connection is closed.
    Clock::duration max_silence{};
  };

  CounterConnection(asio::io_context& io, const Options& options, Owner* owner);

  // To be called once, before all else. Never calls the owner within this call.
  void Connect();

  // Writes the call at once, or when the connection is up. Never calls the owner within this call.
  void Add(std::shared_ptr<CounterCall> call, std::string command);

  // Closes the connection when all calls in flight are answered, at once where it is not up or has none.
  // Takes no further call.
  void Drain();

  // Closes the connection and ends its calls. Closed already, it does nothing.
  void Close(bool unreachable);

  // Closes the connection without a callback, for the owner's destructor.
  void Detach();

  bool open() const { return state_ == State::kOpen; }
  bool closed() const { return state_ == State::kClosed; }
  size_t calls_in_flight() const { return calls_.size(); }

  // Whether bytes of a reply have come that were not read yet.
  bool HasUnreadReplies() { return state_ != State::kConnecting && !closed() && HasUnreadBytes(socket_); }

  // Whether an open connection can take a call. An idle one may have been closed by the counter, which is
  // noticed here before the event of it.
  bool IsUsable() { return !calls_.empty() || !IsStale(socket_); }

 private:
  enum class State { kConnecting, kOpen, kDraining, kClosed };

  void OnConnectEnded(error_code error);
  void Write();
  void Read();
  void OnBytes(size_t size);
  bool TakeReplies();
  void AwaitBytes();

  static constexpr size_t kReadBytes = 1024;

  asio::io_context& io_;
  const Options options_;
  Owner* const owner_;
  State state_ = State::kConnecting;
  tcp::socket socket_;
  asio::steady_timer timer_;                        // connect time-out, then silence
  std::deque<std::shared_ptr<CounterCall>> calls_;  // without a reply so far, in their order
  std::deque<std::string> queued_commands_;         // of calls_, while connecting
  std::string unsent_;                              // commands behind the write that is under way
  std::string sending_;
  size_t sent_bytes_ = 0;  // of sending_
  bool writing_ = false;
  char read_buffer_[kReadBytes];
  TallyReplyDecoder decoder_;
  Clock::time_point last_bytes_at_{};  // or, where later, when the first call in flight was added
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_COUNTER_CONNECTION_H_
