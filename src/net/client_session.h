// One client connection: reads its requests one after another and writes their responses.
#ifndef GATEWAY_NET_CLIENT_SESSION_H_
#define GATEWAY_NET_CLIENT_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "net/client_response.h"
#include "net/clock.h"
#include "net/message_parser.h"
#include "net/socket_util.h"
#include "net/unread_bytes_grace.h"

namespace gateway::net {

using ClientRequest = http::request<http::string_body>;

// The position of a session in its owner's eviction lists. Stored in the session so that the owner does not
// have to search its lists.
struct EvictionPosition {
  using ListPosition = std::optional<std::list<uint64_t>::iterator>;
  ListPosition idle, incomplete;
};

// Processes one request at a time on an HTTP/1.1 connection of a client. Bytes that arrive before the
// response has been written stay in the socket, or in the buffer up to a limit, and are parsed as the next
// request (RFC 9112, 9.3.2).
//
// States and transitions:
// - kIdle to kReceiving: the first byte of a request has arrived.
// - kReceiving to kCheckingEnd: the request is complete by its framing.
// - kCheckingEnd to kAwaitingResponse: its end can be trusted. This mostly takes no time.
// - kAwaitingResponse to kWriting: Reply was called.
// - kIdle, kReceiving or kCheckingEnd to kWriting: the request is malformed, or may be cut off by a length
//   that is too small, and the session itself answers it.
// - kWriting to kIdle: the response has been written and the connection is kept alive.
// - kWriting to kLingering: the last response has been written. Further bytes of the client are discarded.
// - any state to kClosed: Close was called, the connection has failed, the client has closed it, the time-out
//   of the state has expired, or too many bytes have arrived in kLingering.
//
// Ownership: the session is shared by its owner and its pending operations. No callback runs after Close or
// Detach.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  // Receives the notifications of a session, always during a handler of the session or a call by the server.
  class Owner {
   public:
    // The session has become idle: it is new, or its response has been written.
    virtual void OnIdle(ClientSession* session) = 0;
    // The first byte of a request has arrived, the request is held back because its end is in doubt, or the
    // session is lingering. It may be evicted as incomplete.
    virtual void OnIncomplete(ClientSession* session) = 0;
    // The session has a request that is complete by its framing, and must not be evicted. A call to OnRequest
    // or OnIncomplete follows, unless the request is rejected.
    virtual void OnComplete(ClientSession* session) = 0;
    // Returns for how long the request may be held back while the bytes behind it do not tell whether its end
    // can be trusted. Zero if it is to be passed on at once, because it cannot have an effect.
    virtual Clock::duration MaxEndCheckTime(const ClientRequest& request) const = 0;
    // The owner must take the request by TakeRequest, and answer it by Reply within this call or later. The
    // request was complete `held_back` ago.
    virtual void OnRequest(ClientSession* session, Clock::duration held_back) = 0;
    // The session is closed, and the owner must drop its reference. `request_pending` tells whether the
    // session held an unanswered request, whose client has therefore disconnected.
    virtual void OnClosed(ClientSession* session, bool request_pending) = 0;
    // Whether to close the connection after the next response if no further request has been sent.
    virtual bool ClosesAfterResponses() const = 0;

   protected:
    ~Owner() = default;
  };

  // `request_timeout` limits how long a request may take to arrive completely: the first request counts from
  // Start, and each later request from its first byte.
  ClientSession(asio::io_context& io, Owner* owner, uint64_t id, tcp::socket socket,
                Clock::duration request_timeout);

  uint64_t id() const { return id_; }
  EvictionPosition* eviction_position() { return &eviction_position_; }

  // Starts reading. Must be called once.
  void Start();

  // Returns the request that has arrived. Must be called once for each OnRequest, during that call.
  ClientRequest TakeRequest() { return parser_->release(); }

  // Answers the current request; does nothing if there is none. Starts writing the response immediately. The
  // response is an error in its place if bytes that have come since tell that the request is cut off.
  void Reply(Response&& response);

  // Whether the client has closed the connection or its sending side, even if data is still unread. Queries
  // the socket, because in a busy event loop the event may be queued behind others.
  bool HasClientLeft();

  // Closes the session if it is idle and has no unprocessed bytes, which would be the start of a request that
  // must be served. Returns whether the session was closed.
  bool CloseIfIdle();

  // Closes the session if it is receiving or lingering and the socket has no unread bytes, which may be the
  // rest of the request. A request that is held back has to be answered. Returns whether the session was
  // closed.
  bool CloseIfIncomplete();

  // Closes the session if it is lingering. Its response has been written, and unread bytes are discarded
  // anyway. Returns whether the session was closed.
  bool CloseIfLingering();

  // Reads the bytes that have arrived, and closes the session unless they complete its request. One that is
  // held back and still in doubt is rejected first. Must be called from the event loop, outside of any other
  // function of a session. Returns whether the session was closed.
  bool ReadThenCloseIfIncomplete();

  // Closes an incomplete session as its time-out would: bytes that have arrived are read first, in handlers
  // of the session, and if they complete its request, the session stays.
  void CloseUnlessCompletedByUnreadBytes();

  // Makes an idle session read no further requests, and close once those that it has read are answered. They
  // may be cut off, as their end is not awaited, so the owner must not forward them.
  void StopReading();
  bool HasStoppedReading() const { return reading_stopped_; }

  // Closes the session immediately; does nothing if it is closed already.
  void Close();

  // Closes the session without calling the owner, for use in the owner's destructor.
  void Detach();

 private:
  enum class State { kIdle, kReceiving, kCheckingEnd, kAwaitingResponse, kWriting, kLingering, kClosed };

  // Whether bytes have arrived, in the buffer or in the socket, that belong to no request answered so far.
  // They may contain a request that must be answered.
  bool HasUnprocessedBytes() { return buffer_.size() > 0 || HasUnreadBytes(socket_); }
  bool IsReading() const { return state_ == State::kIdle || state_ == State::kReceiving; }

  // Whether bytes of a request have arrived that is not complete, or whose end is in doubt.
  bool IsIncomplete() const { return state_ == State::kReceiving || state_ == State::kCheckingEnd; }

  // Whether the session is waiting for bytes that complete a request or tell whether it is cut off.
  bool NeedsBytes() const { return state_ == State::kIdle || IsIncomplete(); }
  bool MayRead() const;
  bool HasReadAhead() const;

  void BecomeIdle();
  void Read();
  void OnReadingStopped();
  void OnReadable(error_code error);
  void OnBytesReceived(size_t received);
  void PollForDisconnect();
  bool SkipEmptyLines();
  void Parse();
  void SendContinueIfExpected();
  void ArmRequestTimeout();
  void ArmReadTimeout(Clock::time_point when);
  void DisarmReadTimeout();
  void CloseIfReadTimedOut();
  void OnRequestComplete();
  void CheckEnd();
  void HoldBack();
  std::string_view BytesBehindRequest() const;
  bool HasUnreadBytesBehindRequest();
  void PassOn();
  void RejectCutOff();
  void RejectMalformed(error_code error);
  void Write(const Response& response, bool keep_alive);
  void OnWritten(error_code error, bool keep_alive);
  void ReadNextRequest();
  void ArmWriteTimeout();
  void Linger();

  asio::io_context& io_;
  Owner* const owner_;
  const uint64_t id_;
  const Clock::duration request_timeout_;
  tcp::socket socket_;
  // Used for one purpose at a time: the request time-out, the time limit of the check of a request's end,
  // polling for the client's disconnection, the write time-out or the time limit of lingering.
  asio::steady_timer timer_;
  EvictionPosition eviction_position_;
  State state_ = State::kIdle;

  boost::beast::flat_buffer buffer_;  // bytes that have been read but not parsed
  uint64_t read_bytes_ = 0;           // since the start
  bool read_emptied_socket_ = false;  // in the current handler
  MessageParser<http::request_parser<http::string_body>> parser_{kMaxBodyBytes};
  bool read_pending_ = false;
  bool received_eof_ = false;
  size_t empty_line_bytes_ = 0;  // skipped before the request
  size_t lingering_bytes_ = 0;
  bool continue_sent_ = false;
  // The request time-out, or the time limit of the check of a request's end.
  bool read_timeout_armed_ = false;
  bool read_timed_out_ = false;
  UnreadBytesGrace read_timeout_grace_;
  bool reading_stopped_ = false;
  bool keep_alive_ = true;                            // as requested by the last request
  std::optional<Clock::time_point> held_back_since_;  // in kCheckingEnd

  std::string message_;  // the serialized response that is being written
  size_t written_bytes_ = 0;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLIENT_SESSION_H_
