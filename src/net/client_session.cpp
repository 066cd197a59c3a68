#include "net/client_session.h"

#include <poll.h>

#include <chrono>
#include <utility>

namespace gateway::net {
namespace {

// What is read of a client ahead of its response, in bytes. Beyond that nothing is read until it is answered,
// so that clients cannot fill the memory.
constexpr size_t kMaxReadAhead = 2 * kMaxHeaderBytes;
constexpr size_t kMaxEmptyLineBytes = 64;  // ahead of a request
constexpr size_t kMaxLingeringBytes = size_t{1} << 20;
constexpr auto kLingerTimeout = std::chrono::seconds(1);  // for a client to read its last response
constexpr auto kWriteTimeout = std::chrono::seconds(10);  // for a client to read a response
// Interval at which a client is checked for having left while nothing is read of it: half of the 0.1 s after
// which no attempt of its request may begin.
constexpr auto kClientEndInterval = std::chrono::milliseconds(50);

int StatusForUnreadable(error_code error) {
  if (error == http::error::header_limit) return 431;
  if (error == http::error::body_limit) return 413;
  return 400;
}

}  // namespace

ClientSession::ClientSession(asio::io_context& io, Owner* owner, uint64_t id, tcp::socket socket,
                             Clock::duration request_timeout)
    : io_(io),
      owner_(owner),
      id_(id),
      request_timeout_(request_timeout),
      socket_(std::move(socket)),
      timer_(io),
      buffer_(kMaxReadAhead + kReadChunkBytes) {}

// Guards against clients that connect and send nothing, or never a complete request: the time for it runs
// from the first moment.
void ClientSession::Start() {
  BecomeIdle();
  ArmRequestTimeout();
  Read();
}

void ClientSession::Reply(Response&& response) {
  if (state_ != State::kAwaitingResponse) return;
  // A request that has been sent ahead is served too before the connection ends.
  bool last_response = owner_->ClosesAfterResponses() && !HoldsBytes();
  Write(response, keep_alive_ && !last_response);
}

bool ClientSession::HasClientLeft() {
  pollfd end{socket_.native_handle(), POLLRDHUP, 0};
  return poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool ClientSession::CloseIfIdle() {
  if (state_ != State::kIdle || HoldsBytes()) return false;
  Close();
  return true;
}

bool ClientSession::CloseIfIncomplete() {
  if (!eviction_position_.incomplete.has_value() || HasUnreadBytes(socket_)) return false;
  Close();
  return true;
}

void ClientSession::Close() {
  if (state_ == State::kClosed) return;
  auto self = shared_from_this();  // the owner's may be the last other reference
  bool request_pending = state_ == State::kAwaitingResponse;
  state_ = State::kClosed;
  timer_.cancel();
  CloseSocket(socket_);
  owner_->OnClosed(this, request_pending);
}

void ClientSession::Detach() {
  state_ = State::kClosed;
  timer_.cancel();
  CloseSocket(socket_);
}

// Ready for the next request, of which bytes may have come already.
void ClientSession::BecomeIdle() {
  state_ = State::kIdle;
  continue_sent_ = request_overdue_ = false;
  empty_line_bytes_ = 0;
  ResetParser(&parser_, kMaxBodyBytes);
  owner_->OnIdle(this);
}

void ClientSession::Read() {
  if (read_pending_ || client_sends_no_more_ || state_ == State::kClosed) return;
  if (buffer_.size() >= kMaxReadAhead) return WatchForClientEnd();
  read_pending_ = true;
  // Waits without reading: what has come stays in the socket until it is looked at here, so that whoever
  // would close the session sees it there, and a waiting session needs no buffer.
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), this](error_code error) { OnReadable(error); });
}

void ClientSession::OnReadable(error_code error) {
  read_pending_ = false;
  if (state_ == State::kClosed) return;
  size_t received = 0;
  if (!error) received = socket_.receive(buffer_.prepare(kReadChunkBytes), 0, error);
  if (error == asio::error::would_block) return Read();
  // The end of a client's sending while its response is being written ends the session only when that is out.
  // In any other state the client has left.
  if (error == asio::error::eof && state_ == State::kWriting) {
    client_sends_no_more_ = true;
    return;
  }
  if (error) return Close();
  OnBytes(received);
  Read();
}

void ClientSession::OnBytes(size_t received) {
  buffer_.commit(received);
  if (state_ == State::kLingering) {
    lingering_bytes_ += received;
    buffer_.clear();
    if (lingering_bytes_ > kMaxLingeringBytes) Close();
  } else if (IsReading()) {
    Parse();
    if (request_overdue_ && IsReading() && !HasUnreadBytes(socket_)) Close();
  }
}

// Of a client that has sent so much ahead that no more is read, the end would not be seen by reading: its
// request would be forwarded after it has left. Only the end is looked for.
void ClientSession::WatchForClientEnd() {
  if (state_ != State::kAwaitingResponse) return;
  timer_.expires_after(kClientEndInterval);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (cancelled || state_ != State::kAwaitingResponse) return;
    if (HasClientLeft()) return Close();
    WatchForClientEnd();
  });
}

// Empty lines ahead of a request are skipped (RFC 9112, 2.2). False where there are too many.
bool ClientSession::SkipEmptyLines() {
  while (buffer_.size() > 0) {
    char next = *static_cast<const char*>(buffer_.data().data());
    if (next != '\r' && next != '\n') break;
    buffer_.consume(1);
    if (++empty_line_bytes_ > kMaxEmptyLineBytes) return false;
  }
  return true;
}

void ClientSession::Parse() {
  if (state_ == State::kIdle && !SkipEmptyLines()) return RejectUnreadable(http::error::bad_method);
  if (buffer_.size() == 0) return;
  if (state_ == State::kIdle) {
    state_ = State::kReceiving;
    owner_->OnIncomplete(this);
  }
  if (error_code error = FeedParser(*parser_, buffer_)) return RejectUnreadable(error);
  if (parser_->is_done()) return OnRequestComplete();
  SendContinueIfExpected();
  ArmRequestTimeout();
}

// RFC 9110, 10.1.1. Sent once, and not again where the socket does not take it: a client may not wait for
// ever.
void ClientSession::SendContinueIfExpected() {
  if (continue_sent_ || !parser_->is_header_done() ||
      !boost::beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
    return;
  }
  continue_sent_ = true;
  static const std::string kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  error_code ignored;
  socket_.send(asio::buffer(kContinue), 0, ignored);
}

void ClientSession::ArmRequestTimeout() {
  if (request_timeout_armed_) return;
  request_timeout_armed_ = true;
  timer_.expires_after(request_timeout_);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (cancelled || !request_timeout_armed_ || !IsReading()) return;
    request_overdue_ = true;  // what has come by now is read first: it may be the rest
    if (!HasUnreadBytes(socket_)) Close();
  });
}

void ClientSession::DisarmRequestTimeout() {
  if (request_timeout_armed_) timer_.cancel();
  request_timeout_armed_ = false;
}

void ClientSession::OnRequestComplete() {
  DisarmRequestTimeout();
  owner_->OnComplete(this);
  keep_alive_ = parser_->keep_alive();
  state_ = State::kAwaitingResponse;
  owner_->OnRequest(this);
}

// The framing of what follows is in doubt: the response ends the connection.
void ClientSession::RejectUnreadable(error_code error) {
  DisarmRequestTimeout();
  Response response;
  response.status = StatusForUnreadable(error);
  Write(response, false);
}

void ClientSession::Write(const Response& response, bool keep_alive) {
  state_ = State::kWriting;
  Serialize(response, keep_alive, &message_);
  written_bytes_ = 0;
  WriteAll(socket_, message_, &written_bytes_,
           [self = shared_from_this(), this, keep_alive](error_code error) { OnWritten(error, keep_alive); });
  ArmWriteTimeout();
}

void ClientSession::OnWritten(error_code error, bool keep_alive) {
  if (state_ == State::kClosed) return;
  timer_.cancel();
  // Posted: the caller may be in the middle of its actions, and OnClosed is an event of its own.
  if (error || client_sends_no_more_) {
    return asio::post(io_, [self = shared_from_this(), this] { Close(); });
  }
  if (message_.capacity() > kMaxHeaderBytes) message_ = std::string();
  if (buffer_.size() == 0 && buffer_.capacity() > kReadChunkBytes) buffer_.shrink_to_fit();
  if (!keep_alive) return Linger();
  BecomeIdle();
  ReadNextRequest();
}

void ClientSession::ReadNextRequest() {
  if (buffer_.size() == 0) return Read();
  // Bytes that came ahead are the next request. Posted: the caller may be in the middle of its actions.
  asio::post(io_, [self = shared_from_this(), this] {
    if (IsReading()) Parse();
    Read();
  });
}

// Guards against a client that never reads its response: it would hold a connection and the response's memory
// for ever.
void ClientSession::ArmWriteTimeout() {
  if (state_ != State::kWriting) return;
  timer_.expires_after(kWriteTimeout);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (!cancelled && state_ == State::kWriting) Close();
  });
}

// Guards against a last response that is lost: a close while bytes of the client are unread resets the
// connection, and the client may get the reset before the response (RFC 9112, 9.6).
void ClientSession::Linger() {
  state_ = State::kLingering;
  buffer_.clear();
  owner_->OnIncomplete(this);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  timer_.expires_after(kLingerTimeout);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (!cancelled) Close();
  });
  Read();
}

}  // namespace gateway::net
