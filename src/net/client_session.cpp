#include "net/client_session.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <string_view>
#include <utility>

#include "net/request_end_check.h"

namespace gateway::net {
namespace {

// A request that is read stays below it: an incomplete head or chunk is at most kMaxHeaderBytes.
constexpr size_t kMaxBufferedBytes = 2 * kMaxHeaderBytes + kReadChunkBytes;
// The limit on bytes that are buffered behind the current request. Beyond it nothing is read until the
// response has been written. Whatever has been read must be answered before the session can make room for
// another client.
constexpr size_t kMaxReadAheadBytes = kReadChunkBytes;
constexpr size_t kMaxLingeringBytes = size_t{1} << 20;
constexpr auto kLingerTimeout = std::chrono::seconds(1);  // for a client to read its last response
constexpr auto kWriteTimeout = std::chrono::seconds(10);  // for a client to read a response
// Interval at which a client from which nothing is read is checked for disconnection. No attempt may begin
// later than 0.1 s after its client has disconnected; the interval is half of that.
constexpr auto kDisconnectPollInterval = std::chrono::milliseconds(50);

int StatusForParseError(error_code error) {
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
      buffer_(kMaxBufferedBytes) {}

// The request time-out runs from the start, as a guard against clients that connect and send nothing or never
// complete a request.
void ClientSession::Start() {
  BecomeIdle();
  ArmRequestTimeout();
  Read();
}

void ClientSession::Reply(Response&& response) {
  if (state_ != State::kAwaitingResponse) return;
  // The rest of a request that is cut off may have come later. Its client must not take it for served.
  if (CheckRequestEnd(BytesBehindRequest()) == RequestEnd::kDoubtful) {
    return RejectCutOff();
  }
  // A request that the client has already sent is served before the connection is closed.
  bool last_response = owner_->ClosesAfterResponses() && !HasUnprocessedBytes();
  if (reading_stopped_ && buffer_.size() == 0) last_response = true;
  Write(response, keep_alive_ && !last_response);
}

bool ClientSession::HasClientLeft() {
  pollfd end{socket_.native_handle(), POLLRDHUP, 0};
  return poll(&end, 1, 0) > 0 && (end.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool ClientSession::CloseIfIdle() {
  if (state_ != State::kIdle || HasUnprocessedBytes()) return false;
  Close();
  return true;
}

bool ClientSession::CloseIfIncomplete() {
  if (!eviction_position_.incomplete.has_value() || state_ == State::kCheckingEnd) return false;
  if (HasUnreadBytes(socket_)) return false;
  Close();
  return true;
}

bool ClientSession::CloseIfLingering() {
  if (state_ != State::kLingering) return false;
  Close();
  return true;
}

// The number of bytes is determined first, so that a client that sends as fast as it is read is closed too.
// Limits on the message bound it further.
bool ClientSession::ReadThenCloseIfIncomplete() {
  auto self = shared_from_this();
  size_t unread = UnreadBytes(socket_);
  while (unread > 0 && IsIncomplete()) {
    error_code error;
    size_t received = socket_.receive(buffer_.prepare(kReadChunkBytes), 0, error);
    if (error) break;
    unread -= std::min(unread, received);
    OnBytesReceived(received);
  }
  if (state_ == State::kClosed) return true;
  bool request_passed_on = !eviction_position_.incomplete.has_value();
  if (request_passed_on) return false;
  if (state_ == State::kCheckingEnd) RejectCutOff();
  Close();
  return true;
}

void ClientSession::CloseUnlessCompletedByUnreadBytes() {
  if (!IsIncomplete()) return Close();
  ArmReadTimeout(Clock::now());
}

void ClientSession::StopReading() {
  reading_stopped_ = true;
  if (state_ == State::kIdle && buffer_.size() == 0) Close();
}

void ClientSession::Close() {
  if (state_ == State::kClosed) return;
  auto self = shared_from_this();  // the owner may hold the last other reference
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

// Makes the session ready for the next request, part of which may already have arrived.
void ClientSession::BecomeIdle() {
  state_ = State::kIdle;
  continue_sent_ = read_timed_out_ = false;
  empty_line_bytes_ = 0;
  parser_.Reset(kMaxBodyBytes);
  owner_->OnIdle(this);
}

bool ClientSession::MayRead() const { return !reading_stopped_ || state_ == State::kCheckingEnd; }

// Whether so much is buffered behind the current request that nothing is read before its response has been
// written.
bool ClientSession::HasReadAhead() const { return !IsIncomplete() && buffer_.size() >= kMaxReadAheadBytes; }

void ClientSession::Read() {
  if (read_pending_ || received_eof_ || state_ == State::kClosed) return;
  if (!MayRead()) return OnReadingStopped();
  if (HasReadAhead()) return PollForDisconnect();
  read_pending_ = true;
  // Waits for readability without reading. The bytes stay in the socket until the handler runs, so that
  // CloseIfIdle and CloseIfIncomplete see them there, and a waiting session needs no buffer.
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this(), this](error_code error) { OnReadable(error); });
}

// The requests that have been read are answered. Posted, because the caller may still be executing its
// actions.
void ClientSession::OnReadingStopped() {
  if (!IsReading()) return PollForDisconnect();
  asio::post(io_, [self = shared_from_this(), this] {
    if (IsReading()) Close();
  });
}

void ClientSession::OnReadable(error_code error) {
  read_pending_ = false;
  if (state_ == State::kClosed) return;
  if (!MayRead()) return Read();
  size_t received = 0;
  if (!error) received = socket_.receive(buffer_.prepare(kReadChunkBytes), 0, error);
  if (error == asio::error::would_block) return Read();
  // If the client closes its sending side while its response is being written, the session is closed after
  // the response has been written. In any other state the client has disconnected.
  if (error == asio::error::eof && state_ == State::kWriting) {
    received_eof_ = true;
    return;
  }
  if (error) return Close();
  OnBytesReceived(received);
  Read();
}

void ClientSession::OnBytesReceived(size_t received) {
  buffer_.commit(received);
  read_bytes_ += received;
  read_emptied_socket_ = received < kReadChunkBytes;
  if (state_ == State::kLingering) {
    lingering_bytes_ += received;
    buffer_.clear();
    if (lingering_bytes_ > kMaxLingeringBytes) Close();
  } else if (IsReading()) {
    Parse();
  } else if (state_ == State::kCheckingEnd) {
    CheckEnd();
  }
  CloseIfReadTimedOut();
}

// Polls for the client's disconnection while nothing is read because the read-ahead limit is reached.
// Otherwise the disconnection would go unnoticed and the request would be forwarded after it.
void ClientSession::PollForDisconnect() {
  if (state_ != State::kAwaitingResponse) return;
  timer_.expires_after(kDisconnectPollInterval);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (cancelled || state_ != State::kAwaitingResponse) return;
    if (HasClientLeft()) return Close();
    PollForDisconnect();
  });
}

// Skips empty lines before a request (RFC 9112, 2.2). Returns false if there are too many.
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
  if (state_ == State::kIdle && !SkipEmptyLines()) return RejectMalformed(http::error::bad_method);
  if (buffer_.size() == 0) return;
  if (state_ == State::kIdle) {
    state_ = State::kReceiving;
    owner_->OnIncomplete(this);
  }
  if (error_code error = parser_.Feed(buffer_)) return RejectMalformed(error);
  if (parser_->is_done()) return OnRequestComplete();
  SendContinueIfExpected();
  ArmRequestTimeout();
}

// Sends the interim response "100 Continue" (RFC 9110, 10.1.1). It is sent once and not retried if the socket
// does not accept it, since a client must not wait for it indefinitely.
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
  if (!read_timeout_armed_) ArmReadTimeout(Clock::now() + request_timeout_);
}

void ClientSession::ArmReadTimeout(Clock::time_point when) {
  read_timeout_armed_ = true;
  read_timed_out_ = false;
  read_timeout_grace_.Reset();
  timer_.expires_at(when);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (cancelled || !read_timeout_armed_ || Clock::now() < timer_.expiry()) return;
    read_timed_out_ = true;
    CloseIfReadTimedOut();
  });
}

void ClientSession::DisarmReadTimeout() {
  if (read_timeout_armed_) timer_.cancel();
  read_timeout_armed_ = read_timed_out_ = false;
}

// Bytes that had arrived when the time-out was due are read first, as they may complete the request.
void ClientSession::CloseIfReadTimedOut() {
  if (!read_timed_out_ || !NeedsBytes()) return;
  if (read_timeout_grace_.MustWait(read_bytes_, UnreadBytes(socket_))) return;
  if (IsReading()) return Close();
  RejectCutOff();
}

void ClientSession::OnRequestComplete() {
  DisarmReadTimeout();
  owner_->OnComplete(this);
  keep_alive_ = parser_->keep_alive();
  state_ = State::kCheckingEnd;
  held_back_since_.reset();
  CheckEnd();
}

// Guards against forwarding a request that is cut off by a length that is too small. All bytes that have
// arrived by now are taken into account, also those still in the socket.
void ClientSession::CheckEnd() {
  std::string_view following = BytesBehindRequest();
  if (following.empty() && HasUnreadBytesBehindRequest()) return HoldBack();
  switch (CheckRequestEnd(following)) {
    case RequestEnd::kTrusted: return PassOn();
    case RequestEnd::kUndecided: return HoldBack();
    case RequestEnd::kDoubtful: return RejectCutOff();
  }
}

std::string_view ClientSession::BytesBehindRequest() const {
  return {static_cast<const char*>(buffer_.data().data()), buffer_.size()};
}

// A short read has just emptied the socket, which spares the system call.
bool ClientSession::HasUnreadBytesBehindRequest() { return !read_emptied_socket_ && HasUnreadBytes(socket_); }

// Waits for more bytes, which tell another request from the rest of a body. If none arrive in time, or if
// another client needs the connection, the request is rejected: running a request that is cut off would do
// more harm.
void ClientSession::HoldBack() {
  if (held_back_since_) return;
  if (reading_stopped_) return PassOn();  // it is not forwarded
  Clock::duration limit = owner_->MaxEndCheckTime(parser_->get());
  if (limit == Clock::duration::zero()) return PassOn();
  held_back_since_ = Clock::now();
  ArmReadTimeout(*held_back_since_ + limit);
  owner_->OnIncomplete(this);
}

void ClientSession::PassOn() {
  Clock::duration held_back{};
  if (held_back_since_) {
    held_back = Clock::now() - *held_back_since_;
    owner_->OnComplete(this);
  }
  DisarmReadTimeout();
  state_ = State::kAwaitingResponse;
  owner_->OnRequest(this, held_back);
}

// Answers a request whose length is, or may be, too small.
void ClientSession::RejectCutOff() { RejectMalformed(http::error::bad_content_length); }

// Answers a malformed request and closes the connection, since the framing of the following bytes is unknown.
void ClientSession::RejectMalformed(error_code error) {
  DisarmReadTimeout();
  Response response;
  response.status = StatusForParseError(error);
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
  // Posted, because the caller may still be executing its actions and OnClosed must be a separate event.
  if (error || received_eof_) {
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
  read_emptied_socket_ = false;
  // The buffered bytes are the next request. Posted, because the caller may still be executing its actions.
  asio::post(io_, [self = shared_from_this(), this] {
    if (IsReading()) Parse();
    Read();
  });
}

// Guards against a client that never reads its response, which would occupy a connection and the memory of
// the response forever.
void ClientSession::ArmWriteTimeout() {
  if (state_ != State::kWriting) return;
  timer_.expires_after(kWriteTimeout);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (!cancelled && state_ == State::kWriting) Close();
  });
}

// Keeps reading for a while after the last response, so that the response is not lost: closing a connection
// with unread bytes resets it, and the client may receive the reset before the response (RFC 9112, 9.6).
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
