// One client's connection: reading its requests one after another, and writing their responses.
#ifndef GATEWAY_NET_CLIENT_SESSION_H_
#define GATEWAY_NET_CLIENT_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "net/client_response.h"
#include "net/clock.h"
#include "net/http_framing.h"
#include "net/socket_util.h"

namespace gateway::net {

using ClientRequest = http::request<http::string_body>;

// Where a session stands in its owner's lists, in the order in which sessions are evicted. Kept in the
// session so that no list has to be searched.
struct EvictionPosition {
  using Place = std::optional<std::list<uint64_t>::iterator>;
  Place idle, incomplete;
};

// An HTTP/1.1 connection of a client. It takes one request at a time: bytes that come ahead of the response
// stay unread, or in the buffer up to a limit, and are the next request (RFC 9112, 9.3.2).
//
// States and transitions:
// - kIdle to kReceiving: the first byte of a request.
// - kReceiving to kAwaitingResponse: the request is complete.
// - kAwaitingResponse to kWriting: Reply. Also from kIdle and kReceiving, for a request that cannot be read.
// - kWriting to kIdle: the response is written and the connection kept.
// - kWriting to kLingering: the response was the last one. The client's remaining bytes are read and dropped.
// - any to kClosed: Close, the end of the connection, or the end of the time for the state.
//
// Ownership: the owner and the pending operations of the session share it. No callback runs after Close or
// Detach.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  // What a session tells its server, always within a handler of the session or a call of the server.
  class Owner {
   public:
    // The session has become idle: it is new, or its response is written.
    virtual void OnIdle(ClientSession* session) = 0;
    // The first byte of a request has come, or the session lingers: it may be evicted as incomplete.
    virtual void OnIncomplete(ClientSession* session) = 0;
    // The session has a complete request, which OnRequest brings next. It must not be evicted.
    virtual void OnComplete(ClientSession* session) = 0;
    // The owner takes the request by TakeRequest, and answers it by Reply within this call or later.
    virtual void OnRequest(ClientSession* session) = 0;
    // The session is closed. `request_pending`: with a request on it that was not answered, so its client has
    // left. The owner drops its reference.
    virtual void OnClosed(ClientSession* session, bool request_pending) = 0;
    // Whether the next response is to end its connection where no further request has been sent.
    virtual bool ClosesAfterResponses() const = 0;

   protected:
    ~Owner() = default;
  };

  // `request_timeout`: for the first request to be complete from Start on, and for each later one from its
  // first byte on.
  ClientSession(asio::io_context& io, Owner* owner, uint64_t id, tcp::socket socket,
                Clock::duration request_timeout);

  uint64_t id() const { return id_; }
  EvictionPosition* eviction_position() { return &eviction_position_; }

  // Begins to read. Call once.
  void Start();

  // The request that has come. Call once for each OnRequest, within it.
  ClientRequest TakeRequest() { return parser_->release(); }

  // Answers the request that the session holds; no-op where it holds none. Takes the response to write it at
  // once.
  void Reply(Response&& response);

  // Whether the client has closed the connection or ended its sending, whatever is still unread. Asked of the
  // socket, since the event may be queued behind others in a busy loop.
  bool HasClientLeft();

  // Closes the session if it is idle and holds no bytes of the client, read or unread: these begin a request
  // that is to be served. Returns whether it did.
  bool CloseIfIdle();

  // Closes the session if it is receiving or lingering and nothing has come that was not read yet: the rest
  // of the request may be there already. Returns whether it did.
  bool CloseIfIncomplete();

  // Closes the session at once; no-op when closed.
  void Close();

  // Closes the session without a callback, for an owner that ends.
  void Detach();

 private:
  enum class State { kIdle, kReceiving, kAwaitingResponse, kWriting, kLingering, kClosed };

  // Whether bytes of the client have come that no answered request held: a request that is owed a response
  // may be among them.
  bool HoldsBytes() { return buffer_.size() > 0 || HasUnreadBytes(socket_); }
  bool IsReading() const { return state_ == State::kIdle || state_ == State::kReceiving; }

  void BecomeIdle();
  void Read();
  void OnReadable(error_code error);
  void OnBytes(size_t received);
  void WatchForClientEnd();
  bool SkipEmptyLines();
  void Parse();
  void SendContinueIfExpected();
  void ArmRequestTimeout();
  void DisarmRequestTimeout();
  void OnRequestComplete();
  void RejectUnreadable(error_code error);
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
  asio::steady_timer
      timer_;  // of the request, of looking for the client's end, of writing, then of lingering
  EvictionPosition eviction_position_;
  State state_ = State::kIdle;

  boost::beast::flat_buffer buffer_;  // bytes read and not parsed
  std::optional<http::request_parser<http::string_body>> parser_;
  bool read_pending_ = false;
  bool client_sends_no_more_ = false;
  size_t empty_line_bytes_ = 0;  // ahead of the request
  size_t lingering_bytes_ = 0;
  bool continue_sent_ = false;
  bool request_timeout_armed_ = false;
  bool request_overdue_ = false;
  bool keep_alive_ = true;  // as the last request asks

  std::string message_;  // the response that is being written
  size_t written_bytes_ = 0;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLIENT_SESSION_H_
