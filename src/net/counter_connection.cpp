#include "net/counter_connection.h"

#include <utility>

namespace gateway::net {

using policy::CallResult;

namespace {

constexpr size_t kMaxIncompleteReplyBytes = 8192;

}  // namespace

CounterConnection::CounterConnection(asio::io_context& io, const Options& options, Owner* owner)
    : io_(io), options_(options), owner_(owner), socket_(io), timer_(io) {}

void CounterConnection::Connect() {
  error_code error = OpenSocket(socket_, options_.address);
  if (error) return asio::post(io_, [self = shared_from_this(), this] { Close(true); });
  timer_.expires_after(options_.connect_timeout);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (!cancelled && state_ == State::kConnecting && !HasConnectEnded(socket_)) Close(true);
  });
  socket_.async_connect(options_.address,
                        [self = shared_from_this(), this](error_code failed) { OnConnectEnded(failed); });
}

// Drops calls whose timeout expired before the connection was established. They were reported as not added,
// so they must not be sent any more.
void CounterConnection::OnConnectEnded(error_code error) {
  if (closed()) return;
  if (error) return Close(true);
  state_ = State::kOpen;
  timer_.cancel();
  owner_->OnConnected();
  Read();
  size_t kept = 0;
  for (size_t i = 0; i < calls_.size(); ++i) {
    if (calls_[i]->ended) continue;
    unsent_commands_ += queued_commands_[i];
    calls_[kept++] = calls_[i];
  }
  calls_.resize(kept);
  queued_commands_.clear();
  last_reply_at_ = Clock::now();
  if (!calls_.empty()) ArmSilenceTimer();
  Write();
}

void CounterConnection::Add(std::shared_ptr<CounterCall> call, std::string command) {
  calls_.push_back(std::move(call));
  if (state_ == State::kConnecting) return queued_commands_.push_back(std::move(command));
  if (calls_.size() == 1) {
    last_reply_at_ = Clock::now();
    ArmSilenceTimer();
  }
  unsent_commands_ += command;
  Write();
}

void CounterConnection::Drain() {
  if (state_ == State::kConnecting || calls_.empty()) return Close(false);
  state_ = State::kDraining;
}

void CounterConnection::Close(bool unreachable) {
  if (closed()) return;
  bool was_draining = state_ == State::kDraining;
  state_ = State::kClosed;
  auto self = shared_from_this();  // the owner may drop the last other reference
  timer_.cancel();
  CloseSocket(socket_);
  // A draining connection causes no backoff, because calls no longer go to its address.
  owner_->OnConnectionClosed(this, unreachable && !was_draining);
  auto calls = std::move(calls_);
  calls_.clear();
  for (auto& call : calls) owner_->OnCallEnded(call, call->ResultWithoutReply(), 0);
}

void CounterConnection::Detach() {
  state_ = State::kClosed;
  timer_.cancel();
  CloseSocket(socket_);
}

// Writes the pending commands. All calls are marked as written before the write: until it has ended, any of
// them may have been sent completely, and only a call that has not been passed to a write is known not to
// have been added.
void CounterConnection::Write() {
  if (writing_ || unsent_commands_.empty()) return;
  writing_ = true;
  sending_.swap(unsent_commands_);
  unsent_commands_.clear();
  for (auto& call : calls_) call->written = true;
  sent_bytes_ = 0;
  WriteAll(socket_, sending_, &sent_bytes_, [self = shared_from_this(), this](error_code error) {
    writing_ = false;
    if (closed()) return;
    if (error) return asio::post(io_, [self, this] { Close(false); });
    Write();
  });
}

void CounterConnection::Read() {
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [self = shared_from_this(), this](error_code error, size_t size) {
                            if (closed()) return;
                            if (error) return Close(false);
                            OnReceived(size);
                          });
}

void CounterConnection::OnReceived(size_t size) {
  read_bytes_ += size;
  if (!decoder_.Feed(read_buffer_, size) || !ProcessReplies()) return Close(false);
  if (closed()) return;
  if (decoder_.unused_bytes() > kMaxIncompleteReplyBytes) return Close(false);
  if (calls_.empty()) {
    if (state_ == State::kDraining) return Close(false);
    timer_.cancel();
  }
  Read();
}

// Ends a call for each complete reply. Ending a call may close the connection. Returns false if the bytes are
// not a valid reply or belong to no call.
bool CounterConnection::ProcessReplies() {
  while (!closed()) {
    TallyReply reply;
    TallyReplyDecoder::Status status = decoder_.Next(&reply);
    if (status == TallyReplyDecoder::Status::kNeedMore) return true;
    if (status == TallyReplyDecoder::Status::kInvalid || calls_.empty()) return false;
    last_reply_at_ = Clock::now();
    auto call = std::move(calls_.front());
    calls_.pop_front();
    owner_->OnCallEnded(call, reply.added ? CallResult::kOk : CallResult::kRejected, reply.total);
  }
  return true;
}

bool CounterConnection::MustReadFirst(UnreadBytesGrace* grace) {
  if (state_ == State::kConnecting || closed()) return false;
  return grace->MustWait(read_bytes_, UnreadBytes(socket_), UnreadBytesGrace::Reading::kAhead);
}

// Arms the timer that closes the connection after `max_silence` without a complete reply. This guards against
// a counter whose machine has failed or been disconnected: that closes no connection, TCP keep-alive does not
// detect it, and further calls would be sent on a connection that never answers. It also ends a reply that
// never ends. The late reply of a slow counter shows that it is still reachable. The timer runs while calls
// are in flight; a reply only updates last_reply_at_.
void CounterConnection::ArmSilenceTimer() {
  timer_.expires_at(last_reply_at_ + options_.max_silence);
  timer_.async_wait([self = shared_from_this(), this](error_code cancelled) {
    if (!cancelled && !closed() && !calls_.empty()) OnSilenceTimer();
  });
}

void CounterConnection::OnSilenceTimer() {
  bool silent = Clock::now() >= last_reply_at_ + options_.max_silence;
  if (silent && !MustReadFirst(&silence_grace_)) return Close(true);
  if (!silent) silence_grace_.Reset();
  ArmSilenceTimer();
}

}  // namespace gateway::net
