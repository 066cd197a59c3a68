#include "net/discovery_exchange.h"

#include <algorithm>
#include <utility>

namespace gateway::net {
namespace {

constexpr size_t kMaxListBytes = size_t{8} << 20;
constexpr int kMaxInterimResponses = 16;  // 1xx, ahead of the final one

}  // namespace

DiscoveryExchange::DiscoveryExchange(Owner* owner, tcp::socket connection, const tcp::endpoint& address,
                                     Request request, const Timeouts& timeouts)
    : owner_(owner),
      address_(address),
      request_(std::move(request)),
      timeouts_(timeouts),
      began_at_(Clock::now()),
      response_deadline_(began_at_ + request_.may_wait + timeouts.response),
      socket_(std::move(connection)),
      timer_(socket_.get_executor()),
      max_silence_(request_.may_wait + timeouts.silence) {
  ResetParser(&parser_, kMaxListBytes);
}

void DiscoveryExchange::Start() {
  AwaitBytes();
  if (socket_.is_open() && !IsStale(socket_)) return Send();
  CloseSocket(socket_);
  Connect();
}

void DiscoveryExchange::Abort() {
  state_ = State::kEnded;
  timer_.cancel();
  CloseSocket(socket_);
}

tcp::socket DiscoveryExchange::TakeConnection() {
  if (!parser_->keep_alive() || buffer_.size() > 0) CloseSocket(socket_);
  return std::move(socket_);
}

void DiscoveryExchange::Connect() {
  state_ = State::kConnecting;
  error_code error = OpenSocket(socket_, address_);
  if (error) return Fail();
  socket_.async_connect(address_, [self = shared_from_this(), this](error_code failed) {
    if (state_ == State::kEnded) return;
    if (failed) return Fail();
    Send();
  });
}

// An agent whose socket does not take one short line does not read it.
void DiscoveryExchange::Send() {
  state_ = State::kReceiving;
  error_code error;
  size_t sent = socket_.send(asio::buffer(request_.text), 0, error);
  if (error || sent < request_.text.size()) return Fail();
  Receive();
}

void DiscoveryExchange::Receive() {
  socket_.async_read_some(buffer_.prepare(kReadChunkBytes),
                          [self = shared_from_this(), this](error_code error, size_t size) {
                            if (state_ != State::kEnded) OnBytes(error, size);
                          });
}

void DiscoveryExchange::OnBytes(error_code error, size_t size) {
  buffer_.commit(size);
  if (size > 0) max_silence_ = timeouts_.silence;
  AwaitBytes();
  error_code parse_error;
  if (error == asio::error::eof && parser_->got_some()) {
    parser_->put_eof(parse_error);
  } else if (error) {
    return Fail();
  }
  if (!parse_error) parse_error = ParseReceived();
  if (parse_error) return Fail();
  if (parser_->is_done()) return OnResponseComplete();
  if (error) return Fail();
  Receive();
}

// Passes over interim responses.
error_code DiscoveryExchange::ParseReceived() {
  error_code error;
  if (!parser_->is_done()) error = FeedParser(*parser_, buffer_);
  while (!error && parser_->is_done() && parser_->get().result_int() / 100 == 1) {
    if (interim_responses_ >= kMaxInterimResponses) return http::error::bad_status;
    ++interim_responses_;
    ResetParser(&parser_, kMaxListBytes);
    error = FeedParser(*parser_, buffer_);
  }
  return error;
}

void DiscoveryExchange::OnResponseComplete() {
  if (parser_->get().result() != http::status::ok) return Fail();
  state_ = State::kEnded;
  timer_.cancel();
  owner_->OnResponse(this);
}

void DiscoveryExchange::Fail() {
  Abort();
  owner_->OnFailed(this);
}

// Counted anew from each byte, so that a long list may take its time, but never past the response's deadline.
// Guards against an agent that falls silent (a hung process, or a machine that was cut off: nothing closes
// the connection) and against one whose response never ends.
void DiscoveryExchange::AwaitBytes() {
  Clock::time_point silent_at = Clock::now() + max_silence_;
  timer_.expires_at(overdue_ ? response_deadline_ : std::min(silent_at, response_deadline_));
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (!cancelled && state_ != State::kEnded) OnTimer();
  });
}

void DiscoveryExchange::OnTimer() {
  // Bytes were handled after this wait had expired, and the timer was armed anew.
  if (Clock::now() < timer_.expiry()) return;
  // Bytes that have come and are not read yet, in a busy event loop, are no silence.
  if (socket_.is_open() && HasUnreadBytes(socket_)) return AwaitBytes();
  if (Clock::now() >= response_deadline_) return Fail();
  overdue_ = true;
  AwaitBytes();
  owner_->OnOverdue(this);
}

}  // namespace gateway::net
