#include "net/counter_client.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "net/resp2_codec.h"

namespace gateway::net {

using policy::CallResult;

namespace {

// There is more than one connection because a slow shard of the counter delays all calls that are pipelined
// behind its own.
constexpr size_t kMaxConnections = 8;
constexpr size_t kMaxCallsInFlight = 64;  // per connection
// A connection with calls in flight is closed after the longer of these two times without a complete reply.
constexpr auto kMinSilence = std::chrono::milliseconds(1000);
constexpr int kMinSilenceTimeouts = 2;  // as a multiple of a call's timeout
constexpr auto kMinBackoff = std::chrono::milliseconds(20);
constexpr auto kMaxBackoff = std::chrono::milliseconds(500);

}  // namespace

CounterClient::CounterClient(asio::io_context& io, const tcp::endpoint& address, double timeout_s,
                             double connect_timeout_s, OnReply on_reply)
    : io_(io),
      address_(address),
      timeout_(Seconds(timeout_s)),
      max_silence_(std::max<Clock::duration>(kMinSilence, kMinSilenceTimeouts * timeout_)),
      connect_timeout_(Seconds(connect_timeout_s)),
      on_reply_(std::move(on_reply)),
      timer_(io) {}

CounterClient::~CounterClient() {
  for (auto& connection : connections_) connection->Detach();
  for (auto& connection : draining_) connection->Detach();
}

void CounterClient::Start() { PickConnection(); }

// Drains the previous connections last, because that ends calls whose replies may cause further calls, which
// must go to the new address.
void CounterClient::SwitchTo(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  backoff_ = {};
  no_connect_before_ = {};
  std::vector<std::shared_ptr<CounterConnection>> previous = std::move(connections_);
  connections_.clear();
  Start();
  for (auto& connection : previous) {
    connection->Drain();
    if (!connection->closed()) draining_.push_back(connection);
  }
}

// Returns an idle connection if there is one. Otherwise starts a new connection if the limits allow it and
// none is being established, and returns the open connection with the fewest calls in flight. Returns a
// connection that is being established only if no other is open, and null while the counter cannot be
// reached. Closes connections that are no longer usable.
CounterConnection* CounterClient::PickConnection() {
  CounterConnection* idle = nullptr;
  CounterConnection* least_loaded = nullptr;
  CounterConnection* connecting = nullptr;
  std::vector<std::shared_ptr<CounterConnection>> all = connections_;  // Close() modifies connections_
  for (auto& connection : all) {
    if (!connection->open()) {
      connecting = connection.get();
    } else if (!connection->IsUsable()) {
      connection->Close(false);
    } else if (connection->calls_in_flight() == 0) {
      if (idle == nullptr) idle = connection.get();
    } else if (least_loaded == nullptr || connection->calls_in_flight() < least_loaded->calls_in_flight()) {
      least_loaded = connection.get();
    }
  }
  if (idle != nullptr) return idle;
  bool may_connect = connections_.size() < kMaxConnections && Clock::now() >= no_connect_before_;
  if (connecting == nullptr && may_connect) connecting = AddConnection();
  return least_loaded != nullptr ? least_loaded : connecting;
}

CounterConnection* CounterClient::AddConnection() {
  CounterConnection::Options options{
      .address = address_, .connect_timeout = connect_timeout_, .max_silence = max_silence_};
  CounterConnection::Owner* owner = this;
  auto connection = std::make_shared<CounterConnection>(io_, options, owner);
  connections_.push_back(connection);
  connection->Connect();
  return connection.get();
}

void CounterClient::Call(uint64_t key, double amount, double expiry_s) {
  auto call = std::make_shared<CounterCall>();
  call->key = key;
  call->deadline = Clock::now() + timeout_;
  CounterConnection* connection = PickConnection();
  if (connection == nullptr || connection->calls_in_flight() >= kMaxCallsInFlight) {
    return asio::post(io_, [this, call] { EndCall(call, CallResult::kConnectFailed, 0); });
  }
  calls_.push_back(call);
  connection->Add(std::move(call), EncodeTally(key, amount, expiry_s));
  ArmTimer();
}

// Reports a call's result. Only the first end of a call counts; a reply after its timeout is dropped.
void CounterClient::EndCall(const std::shared_ptr<CounterCall>& call, CallResult result, double total) {
  if (call->ended) return;
  call->ended = true;
  policy::CounterReply reply;
  reply.key = call->key;
  reply.total = total;
  reply.result = result;
  on_reply_(reply);
}

void CounterClient::ArmTimer() {
  while (!calls_.empty() && calls_.front()->ended) calls_.pop_front();
  if (timer_armed_ || calls_.empty()) return;
  timer_armed_ = true;
  timer_.expires_at(calls_.front()->deadline);
  timer_.async_wait([this](error_code cancelled) {
    if (cancelled) return;
    timer_armed_ = false;
    EndExpiredCalls();
    ArmTimer();
  });
}

// Asks each connection, so that all of them wait in the same turn of the event loop.
bool CounterClient::MustReadRepliesFirst() const {
  bool must_wait = false;
  for (const auto* list : {&connections_, &draining_}) {
    for (const auto& connection : *list) must_wait = connection->MustReadFirst() || must_wait;
  }
  return must_wait;
}

void CounterClient::ResetTimeoutGraces() const {
  for (const auto* list : {&connections_, &draining_}) {
    for (const auto& connection : *list) connection->ResetTimeoutGrace();
  }
}

// Ends calls whose timeout has expired, unless there are unread replies, which must be read first: after the
// process has stalled, replies and timeouts are due at the same moment, and a counter that answered in time
// would be taken for a silent one. A counter that sends without end does not put off a timeout.
void CounterClient::EndExpiredCalls() {
  while (!calls_.empty()) {
    if (!calls_.front()->ended) {
      if (Clock::now() < calls_.front()->deadline) break;
      if (MustReadRepliesFirst()) return;
    }
    auto call = std::move(calls_.front());
    calls_.pop_front();
    EndCall(call, call->ResultWithoutReply(), 0);
  }
  ResetTimeoutGraces();
}

// Backs off if the counter cannot be reached; otherwise each call would try to open a new connection.
void CounterClient::OnConnectionClosed(CounterConnection* connection, bool unreachable) {
  for (auto* list : {&connections_, &draining_}) {
    std::erase_if(*list, [connection](const auto& other) { return other.get() == connection; });
  }
  if (!unreachable) return;
  backoff_ = std::clamp<Clock::duration>(backoff_ * 2, kMinBackoff, kMaxBackoff);
  no_connect_before_ = Clock::now() + backoff_;
}

}  // namespace gateway::net
