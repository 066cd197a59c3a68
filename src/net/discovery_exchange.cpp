#include "net/discovery_exchange.h"

#include <algorithm>
#include <utility>

namespace gateway::net {
namespace {

constexpr size_t kMaxListBytes = size_t{8} << 20;
constexpr int kMaxTimeoutWaits = 16;  // a list of 1 MB has sixteen receive windows of 64 KiB

}  // namespace

DiscoveryExchange::DiscoveryExchange(Owner* owner, tcp::socket connection, const tcp::endpoint& address,
                                     Request request, const Timeouts& timeouts)
    : owner_(owner),
      address_(address),
      request_(std::move(request)),
      timeouts_(timeouts),
      started_at_(Clock::now()),
      response_deadline_(started_at_ + request_.max_wait + timeouts.response),
      socket_(std::move(connection)),
      timer_(socket_.get_executor()),
      response_(kMaxListBytes),
      max_silence_(request_.max_wait + timeouts.silence),
      timeout_grace_(kMaxTimeoutWaits) {}

void DiscoveryExchange::Start() {
  ArmTimer();
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
  if (!response_.KeepsConnectionAlive() || buffer_.size() > 0) CloseSocket(socket_);
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

// Fails if the socket does not accept the whole short request at once, because an agent with a full socket
// buffer is not reading.
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
                            if (state_ != State::kEnded) OnReceived(error, size);
                          });
}

void DiscoveryExchange::OnReceived(error_code error, size_t size) {
  buffer_.commit(size);
  read_bytes_ += size;
  if (size > 0) max_silence_ = timeouts_.silence;
  ArmTimer();
  bool ended = error == asio::error::eof;
  if (error && !ended) return Fail();
  if (ended ? response_.FeedEnd() : response_.Feed(buffer_)) return Fail();
  if (response_.IsComplete()) return OnResponseComplete();
  Receive();
}

void DiscoveryExchange::OnResponseComplete() {
  if (response_.message().result() != http::status::ok) return Fail();
  state_ = State::kEnded;
  timer_.cancel();
  owner_->OnResponse(this);
}

void DiscoveryExchange::Fail() {
  Abort();
  owner_->OnFailed(this);
}

// Arms the timer for the silence limit or the response's deadline, whichever ends first. The silence limit
// restarts with each received byte, so that a long list has enough time. This guards against an agent that
// falls silent, where a hung process or a disconnected machine does not close the connection, and against a
// response that never ends.
void DiscoveryExchange::ArmTimer() {
  Clock::time_point silent_at = Clock::now() + max_silence_;
  ArmTimerAt(overdue_ ? response_deadline_ : std::min(silent_at, response_deadline_));
}

void DiscoveryExchange::ArmTimerAt(Clock::time_point when) {
  timer_.expires_at(when);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (!cancelled && state_ != State::kEnded) OnTimer();
  });
}

void DiscoveryExchange::OnTimer() {
  // Bytes were handled after this wait had expired, and the timer was armed again.
  if (Clock::now() < timer_.expiry()) return;
  if (MustReadFirst()) return ArmTimerAt(Clock::now());
  if (Clock::now() >= response_deadline_) return Fail();
  overdue_ = true;
  ArmTimer();
  owner_->OnOverdue(this);
}

// The agent is not silent if a busy event loop has not yet read the bytes received from it, and they may
// complete its response. An agent that sends without end is given up nevertheless.
bool DiscoveryExchange::MustReadFirst() {
  if (state_ != State::kReceiving) return false;
  return timeout_grace_.MustWait(read_bytes_, UnreadBytes(socket_), UnreadBytesGrace::Reading::kAhead);
}

}  // namespace gateway::net
