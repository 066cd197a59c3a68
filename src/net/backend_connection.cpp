#include "net/backend_connection.h"

#include <algorithm>
#include <utility>

namespace gateway::net {

using policy::CallResult;

namespace {

constexpr size_t kMaxResponseBody = kMaxBodyBytes;
constexpr int kMaxInterimResponses = 16;  // 1xx responses ahead of the final one

}  // namespace

BackendConnection::BackendConnection(asio::io_context& io, Owner* owner, const Timeouts& timeouts,
                                     uint32_t backend, const tcp::endpoint& address)
    : io_(io),
      owner_(owner),
      timeouts_(timeouts),
      backend_(backend),
      address_(address),
      socket_(io),
      timer_(io) {}

bool BackendConnection::IsRequestWritten() const {
  return HasAttempt() && message_bytes_ > 0 && written_bytes_ == message_bytes_;
}

bool BackendConnection::IsReusable() { return state_ == State::kIdle && !IsStale(socket_); }

void BackendConnection::Begin(BackendAttempt attempt) {
  bool connected = state_ == State::kIdle;
  state_ = connected ? State::kExchanging : State::kConnecting;
  attempt_ = std::move(attempt);
  written_bytes_ = message_bytes_ = 0;
  began_at_ = Clock::now();
  give_up_at_ = began_at_ + Seconds(std::max(0.0, attempt_.timeout_s));
  interim_responses_ = 0;
  ResetParser(&parser_, kMaxResponseBody);
  if (!connected) return Connect();
  SetDeadline(give_up_at_);
  WriteRequest();
}

void BackendConnection::Abort() {
  attempt_.on_complete = nullptr;
  attempt_.still_wanted = nullptr;
  owner_->OnAttemptEnded(attempt_.id);
  Close();
}

void BackendConnection::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  timer_.cancel();
  CloseSocket(socket_);
  owner_->OnClosed();
}

void BackendConnection::CloseIdle() {
  auto self = shared_from_this();  // the owner's may be the last other reference
  owner_->OnIdleEnded(this);
  Close();
}

void BackendConnection::SetDeadline(Clock::time_point when) {
  timer_.expires_at(when);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    // One whose time has just expired is no longer cancelled: the timer may have been set anew since.
    if (cancelled || state_ == State::kClosed || Clock::now() < timer_.expiry()) return;
    OnDeadline();
  });
}

void BackendConnection::OnDeadline() {
  if (!HasAttempt()) return CloseIdle();
  if (HasEventAhead()) return SetDeadline(Clock::now());
  // A request that is not completely written has not run.
  Fail(IsRequestWritten() ? CallResult::kTimeout : CallResult::kConnectFailed);
}

// Whether the system has an event of the attempt that is to be handled before its time-out. Guards against an
// answer that is thrown away though it came in time: in a process that was held up both are due at once.
bool BackendConnection::HasEventAhead() {
  return state_ == State::kConnecting ? HasConnectEnded(socket_) : HasUnreadResponse();
}

void BackendConnection::Connect() {
  error_code error = OpenSocket(socket_, address_);
  if (error) {  // descriptors or memory are exhausted: no fault of the backend
    return asio::post(io_, [self = shared_from_this(), this] { Fail(CallResult::kNeverSent); });
  }
  SetDeadline(std::min(give_up_at_, began_at_ + timeouts_.connect));
  socket_.async_connect(address_, [self = shared_from_this(), this](error_code failed) {
    if (HasAttempt()) OnConnected(failed);
  });
}

void BackendConnection::OnConnected(error_code error) {
  // Guards against a connection that comes up too late: the attempt's time is over, or discovery has
  // meanwhile listed the backend as gone, at another address, or draining for longer than its grace. Without
  // this look the request would be sent to a backend that must not get it.
  if (error || Clock::now() >= give_up_at_ || !owner_->MaySend(*this))
    return Fail(CallResult::kConnectFailed);
  if (!attempt_.still_wanted()) return Fail(CallResult::kNeverSent);
  state_ = State::kExchanging;
  SetDeadline(give_up_at_);
  WriteRequest();
}

void BackendConnection::WriteRequest() {
  if (!read_pending_) Read();
  message_ = attempt_.serialize(ToSeconds(give_up_at_ - Clock::now()));
  attempt_.serialize = nullptr;
  message_bytes_ = message_.size();
  uint64_t attempt = attempt_.id;
  WriteAll(
      socket_, message_, &written_bytes_,
      [self = shared_from_this(), this, attempt](error_code error) { OnWriteEnded(attempt, error); },
      [this, attempt] { return !IsCarrying(attempt) || attempt_.still_wanted(); });
}

void BackendConnection::OnWriteEnded(uint64_t attempt, error_code error) {
  if (!IsCarrying(attempt)) return;
  if (!error) {
    message_ = std::string();
    return;
  }
  // A request whose last byte was not written has not begun to run.
  CallResult result =
      error == asio::error::operation_aborted ? CallResult::kNeverSent : CallResult::kConnectFailed;
  // Posted: the caller may be Begin, within which no completion runs.
  asio::post(io_, [self = shared_from_this(), this, attempt, result] {
    if (IsCarrying(attempt)) Fail(result);
  });
}

void BackendConnection::Read() {
  read_pending_ = true;
  socket_.async_read_some(buffer_.prepare(kReadChunkBytes),
                          [self = shared_from_this(), this](error_code error, size_t n) {
                            read_pending_ = false;
                            if (state_ == State::kClosed) return;
                            buffer_.commit(n);
                            // Closed by the backend while idle, or bytes that nobody asked for.
                            if (!HasAttempt()) return CloseIdle();
                            if (error) return OnReadError(error);
                            ParseResponse();
                            if (state_ != State::kClosed && !read_pending_) Read();
                          });
}

// A response whose end only the end of the connection marks (RFC 9112, 6.3) cannot be told from one that was
// cut short, so that it is no success, whatever its status.
void BackendConnection::OnReadError(error_code error) {
  bool ended = error == asio::error::eof;
  error_code incomplete;
  if (ended && IsRequestWritten() && parser_->got_some()) parser_->put_eof(incomplete);
  bool complete = !incomplete && parser_->is_done();
  if (ended && complete && parser_->get().result() != http::status::ok) return OnResponse(false);
  Fail(IsRequestWritten() ? CallResult::kReset : CallResult::kConnectFailed);
}

void BackendConnection::ParseResponse() {
  for (;;) {
    // Bytes that are no HTTP, or a response past a limit, end this exchange.
    bool failed = FeedParser(*parser_, buffer_) || interim_responses_ > kMaxInterimResponses;
    if (failed) return Fail(IsRequestWritten() ? CallResult::kReset : CallResult::kConnectFailed);
    if (!parser_->is_done()) return;
    if (http::to_status_class(parser_->get().result_int()) != http::status_class::informational) break;
    ++interim_responses_;
    ResetParser(&parser_, kMaxResponseBody);
  }
  // A response to a request that is not completely written: the request has not begun to run, and what the
  // response belongs to is in doubt.
  if (!IsRequestWritten()) return Fail(CallResult::kConnectFailed);
  OnResponse(parser_->keep_alive() && buffer_.size() == 0);
}

void BackendConnection::OnResponse(bool reusable) { Complete(ToAttemptResult(&parser_->get()), reusable); }

void BackendConnection::Fail(CallResult result) {
  AttemptResult end;
  end.result = result;
  Complete(std::move(end), false);
}

void BackendConnection::Complete(AttemptResult end, bool reusable) {
  if (!HasAttempt()) return;
  end.duration_s = ToSeconds(Clock::now() - began_at_);
  owner_->OnAttemptEnded(attempt_.id);
  // The connection is idle or closed before the completion runs, so that a retry which that sends never goes
  // out beside this attempt.
  if (reusable && owner_->KeepIdle(shared_from_this())) {
    state_ = State::kIdle;
    idle_since_ = Clock::now();
    SetDeadline(idle_since_ + timeouts_.idle);
  } else {
    Close();
  }
  CompletionFn on_complete = std::move(attempt_.on_complete);
  attempt_.on_complete = nullptr;
  attempt_.still_wanted = nullptr;
  if (on_complete) on_complete(std::move(end));
}

}  // namespace gateway::net
