#include "net/backend_connection.h"

#include <algorithm>
#include <utility>

namespace gateway::net {

using policy::CallResult;

BackendConnection::BackendConnection(asio::io_context& io, Owner* owner, const Timeouts& timeouts,
                                     uint32_t backend, uint64_t incarnation, const tcp::endpoint& address)
    : io_(io),
      owner_(owner),
      timeouts_(timeouts),
      backend_(backend),
      incarnation_(incarnation),
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
  reads_ = last_read_bytes_ = 0;
  timeout_grace_.Reset();
  started_at_ = Clock::now();
  attempt_deadline_ = started_at_ + Seconds(std::max(0.0, attempt_.timeout_s));
  response_.emplace(kMaxBodyBytes);
  response_end_.emplace();
  if (!connected) return Connect();
  ArmTimer(attempt_deadline_);
  WriteRequest();
}

void BackendConnection::Abort() {
  attempt_.on_complete = nullptr;
  attempt_.still_wanted = nullptr;
  owner_->OnAttemptEnded(attempt_.id);
  Close();
}

// Posted, because the caller's owner may be applying an endpoint list, which must be in force first.
void BackendConnection::FailUnlessWritten() {
  asio::post(io_, [self = shared_from_this(), this, attempt = attempt_.id] {
    if (IsInFlight(attempt) && !IsRequestWritten()) Fail(CallResult::kConnectFailed);
  });
}

void BackendConnection::Close() {
  if (state_ == State::kClosed) return;
  state_ = State::kClosed;
  timer_.cancel();
  CloseSocket(socket_);
  owner_->OnClosed();
}

void BackendConnection::CloseIdle() {
  auto self = shared_from_this();  // the owner may drop the last other reference
  owner_->OnIdleClosing(this);
  Close();
}

void BackendConnection::ArmTimer(Clock::time_point when) {
  timer_.expires_at(when);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    // Asio no longer cancels a wait that has already expired, and the timer may have been set again since.
    if (cancelled || state_ == State::kClosed || Clock::now() < timer_.expiry()) return;
    OnTimer();
  });
}

void BackendConnection::OnTimer() {
  if (!HasAttempt()) return CloseIdle();
  if (MustHandleEventFirst()) return ArmTimer(Clock::now());
  // A request that was not completely written has not run.
  Fail(IsRequestWritten() ? CallResult::kTimeout : CallResult::kConnectFailed);
}

// Returns whether the kernel holds an event of the attempt that must be handled before its timeout. This
// guards against discarding a response that arrived in time: after the process has stalled, the response and
// the timeout are due at the same moment. A backend that sends without end does not put off the timeout.
bool BackendConnection::MustHandleEventFirst() {
  return state_ == State::kConnecting ? HasConnectEnded(socket_) : MustReadFirst(&timeout_grace_);
}

// The first read of an exchange waits for bytes. Each later one begins in a handler and may find bytes at
// once.
bool BackendConnection::MustReadFirst(UnreadBytesGrace* grace) {
  if (state_ != State::kExchanging) return false;
  using Reading = UnreadBytesGrace::Reading;
  Reading reading = reads_ == 0 ? Reading::kInHandlers : Reading::kAhead;
  return grace->MustWait(read_bytes_, UnreadBytes(socket_), reading);
}

void BackendConnection::Connect() {
  error_code error = OpenSocket(socket_, address_);
  if (error) {  // this process is out of file descriptors or memory; the backend has not failed
    return asio::post(io_, [self = shared_from_this(), this] { Fail(CallResult::kNeverSent); });
  }
  ArmTimer(std::min(attempt_deadline_, started_at_ + timeouts_.connect));
  socket_.async_connect(address_, [self = shared_from_this(), this](error_code failed) {
    if (HasAttempt()) OnConnected(failed);
  });
}

void BackendConnection::OnConnected(error_code error) {
  // The connection may be established too late: the attempt may have timed out, or discovery may since have
  // listed the backend as gone, at another address, as restarted, or as draining for longer than its grace.
  // Without this check the request would be sent to a backend that must not receive it.
  if (error || Clock::now() >= attempt_deadline_ || !owner_->MaySend(*this))
    return Fail(CallResult::kConnectFailed);
  if (!attempt_.still_wanted()) return Fail(CallResult::kNeverSent);
  state_ = State::kExchanging;
  ArmTimer(attempt_deadline_);
  WriteRequest();
}

void BackendConnection::WriteRequest() {
  if (!read_pending_) Read();
  message_ = attempt_.serialize(ToSeconds(attempt_deadline_ - Clock::now()));
  attempt_.serialize = nullptr;
  message_bytes_ = message_.size();
  uint64_t attempt = attempt_.id;
  WriteAll(
      socket_, message_, &written_bytes_,
      [self = shared_from_this(), this, attempt](error_code error) { OnWriteEnded(attempt, error); },
      [this, attempt] { return !IsInFlight(attempt) || attempt_.still_wanted(); });
}

void BackendConnection::OnWriteEnded(uint64_t attempt, error_code error) {
  if (!IsInFlight(attempt)) return;
  if (!error) {
    message_ = std::string();
    return;
  }
  // A request whose last byte was not written has not started to run.
  CallResult result =
      error == asio::error::operation_aborted ? CallResult::kNeverSent : CallResult::kConnectFailed;
  // The failure is posted because the caller may be Begin, which must not run the completion.
  asio::post(io_, [self = shared_from_this(), this, attempt, result] {
    if (IsInFlight(attempt)) Fail(result);
  });
}

void BackendConnection::Read() {
  read_pending_ = true;
  socket_.async_read_some(buffer_.prepare(kReadChunkBytes),
                          [self = shared_from_this(), this](error_code error, size_t n) {
                            read_pending_ = false;
                            if (state_ == State::kClosed) return;
                            buffer_.commit(n);
                            ++reads_;
                            last_read_bytes_ = n;
                            read_bytes_ += n;
                            // The backend has closed the idle connection or sent bytes that belong to no
                            // request.
                            if (!HasAttempt()) return CloseIdle();
                            if (error) return OnReadError(error);
                            ParseResponse();
                            if (state_ != State::kClosed && !read_pending_) Read();
                          });
}

// The orderly end of the connection completes a response that has neither a length nor chunked coding (RFC
// 9112, 6.3). Guards against serving a truncated response: a reset is no such end, and an end within the
// head, a stated length or a chunk completes nothing.
void BackendConnection::OnReadError(error_code error) {
  if (response_->IsComplete()) return FailResponse(ResponseFault::kEndInDoubt);
  bool started = response_->HasStarted() || buffer_.size() > 0;
  bool ended_orderly = error == asio::error::eof;
  if (ended_orderly && IsRequestWritten() && !response_->FeedEnd()) return OnResponse(false);
  FailResponse(started ? ResponseFault::kTruncated : ResponseFault::kNone);
}

void BackendConnection::ParseResponse() {
  if (response_->Feed(buffer_)) return FailResponse(ResponseFault::kMalformed);
  if (!response_->IsComplete()) return;
  // If the request is not completely written, it has not started to run, and it is unclear which request the
  // response belongs to.
  if (!IsRequestWritten()) return Fail(CallResult::kConnectFailed);
  CheckResponseEnd();
}

// Guards against a response whose length is too small: it would be passed on cut off, with a length that fits
// the cut, so that the client could not tell. All bytes that have arrived by now are taken into account. They
// may still be in the socket, since a read ends after kReadChunkBytes, and a read that found bytes at once is
// handled later. The usual response comes in one short read, which has just emptied the socket, and is spared
// the system call.
void BackendConnection::CheckResponseEnd() {
  error_code error = asio::error::would_block;
  if (buffer_.size() == 0 && !HasReadEmptiedSocket()) {
    size_t received = socket_.receive(buffer_.prepare(kReadChunkBytes), 0, error);
    buffer_.commit(received);
    read_bytes_ += received;
  }
  switch (response_end_->Check(response_->message(), buffer_)) {
    case ResponseEndCheck::Verdict::kNothingFollows:
      return OnResponse(response_->KeepsConnectionAlive() && error == asio::error::would_block);
    case ResponseEndCheck::Verdict::kCopyFollows: return OnResponse(false);
    case ResponseEndCheck::Verdict::kUndecided: return;  // the exchange continues with the next read
    case ResponseEndCheck::Verdict::kDoubtful: return FailResponse(ResponseFault::kEndInDoubt);
  }
}

void BackendConnection::OnResponse(bool reusable) {
  Complete(ToAttemptResult(&response_->message()), reusable);
}

// Ends the attempt because its response cannot be used, whatever its status: a status that says that the
// request has not run is not trusted either. A complete response counts as an error that the backend sent,
// since it shows that the connection works.
void BackendConnection::FailResponse(ResponseFault fault) {
  AttemptResult outcome;
  outcome.result = !IsRequestWritten()                   ? CallResult::kConnectFailed
                   : fault == ResponseFault::kEndInDoubt ? CallResult::kError
                                                         : CallResult::kReset;
  outcome.fault = fault;
  Complete(std::move(outcome), false);
}

void BackendConnection::Fail(CallResult result) {
  AttemptResult outcome;
  outcome.result = result;
  Complete(std::move(outcome), false);
}

void BackendConnection::Complete(AttemptResult outcome, bool reusable) {
  if (!HasAttempt()) return;
  outcome.duration_s = ToSeconds(Clock::now() - started_at_);
  owner_->OnAttemptEnded(attempt_.id);
  // The connection becomes idle or is closed before the completion runs, so that a retry sent by the
  // completion never runs in parallel with this attempt.
  if (reusable && owner_->KeepIdle(shared_from_this())) {
    state_ = State::kIdle;
    idle_since_ = Clock::now();
    ArmTimer(idle_since_ + timeouts_.idle);
  } else {
    Close();
  }
  CompletionFn on_complete = std::move(attempt_.on_complete);
  attempt_.on_complete = nullptr;
  attempt_.still_wanted = nullptr;
  if (on_complete) on_complete(std::move(outcome));
}

}  // namespace gateway::net
