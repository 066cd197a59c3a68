#include "net/backend_connection_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gateway::net {

using policy::CallResult;

namespace {

// Idle connections are closed after this fraction of the backends' own idle timeout. This guards against a
// request that is written just as the backend closes the connection: the attempt would end with a reset,
// after which the request may have run.
constexpr double kIdleTimeoutFraction = 0.7;
constexpr double kDefaultIdleTimeoutS = 5;  // used if the backends' idle timeout is not configured
// Subtracted from the drain grace, because a write may be delayed by this time on a busy core.
constexpr double kDrainGraceMarginS = 0.1;

}  // namespace

BackendConnectionPool::BackendConnectionPool(asio::io_context& io, double idle_s, double connect_timeout_s,
                                             double drain_grace_s, size_t max_connections,
                                             double min_idle_before_reuse_s)
    : io_(io),
      timeouts_{Seconds(connect_timeout_s),
                Seconds(idle_s > 0 ? idle_s * kIdleTimeoutFraction : kDefaultIdleTimeoutS)},
      drain_grace_(Seconds(std::max(0.0, drain_grace_s - kDrainGraceMarginS))),
      min_idle_before_reuse_(Seconds(min_idle_before_reuse_s)),
      max_connections_(max_connections) {}

BackendConnectionPool::~BackendConnectionPool() {
  auto in_flight = std::move(in_flight_);
  in_flight_.clear();
  for (auto& [attempt, connection] : in_flight) connection->Abort();
  CloseIdle();
}

void BackendConnectionPool::Update(uint32_t backend, const tcp::endpoint& address, double started_at_s) {
  auto& b = backends_[backend];
  if (b == nullptr) b = std::make_unique<Backend>();
  b->draining = false;
  // An earlier start is older news, and 0 may be listed for the same process once its start is long ago.
  bool same_process = b->address == address && started_at_s <= b->started_at_s;
  b->address = address;
  b->started_at_s = std::max(b->started_at_s, started_at_s);
  if (!same_process) BeginIncarnation(backend, b.get());
}

void BackendConnectionPool::BeginIncarnation(uint32_t id, Backend* backend) {
  backend->incarnation = ++last_incarnation_;
  CloseIdleConnections(backend);
  for (auto& [attempt, connection] : in_flight_) {
    if (connection->backend() == id) connection->FailUnlessWritten();
  }
}

bool BackendConnectionPool::IsCurrent(const BackendConnection& connection, const Backend& backend) {
  return connection.incarnation() == backend.incarnation;
}

void BackendConnectionPool::Drain(uint32_t backend, Clock::time_point notified_at) {
  Backend* b = Find(backend);
  if (b == nullptr || b->draining) return;
  b->draining = true;
  b->no_send_after = notified_at + drain_grace_;
  CloseIdleConnections(b);
}

void BackendConnectionPool::Remove(uint32_t backend) {
  Drain(backend, Clock::now());
  backends_.erase(backend);
}

uint64_t BackendConnectionPool::Send(uint32_t backend, SerializeFn serialize, double timeout_s,
                                     CompletionFn on_complete, StillWantedFn still_wanted) {
  uint64_t attempt = ++last_attempt_;
  Backend* b = Find(backend);
  bool allowed = b != nullptr && AcceptsNewRequests(*b);
  std::shared_ptr<BackendConnection> connection;
  if (allowed) connection = TakeIdle(b);
  if (allowed && connection == nullptr) connection = OpenNew(backend, *b);
  if (connection == nullptr) {
    // If all connections are in use, this gateway lacks capacity; the backend has not failed.
    CallResult result = allowed ? CallResult::kNeverSent : CallResult::kConnectFailed;
    asio::post(io_, [on_complete = std::move(on_complete), result] {
      AttemptResult outcome;
      outcome.result = result;
      on_complete(std::move(outcome));
    });
    return attempt;
  }
  in_flight_[attempt] = connection;
  connection->Begin(
      {attempt, std::move(serialize), timeout_s, std::move(on_complete), std::move(still_wanted)});
  return attempt;
}

CancelResult BackendConnectionPool::Cancel(uint64_t attempt) {
  auto it = in_flight_.find(attempt);
  if (it == in_flight_.end()) return CancelResult::kAlreadyEnded;
  std::shared_ptr<BackendConnection> connection = it->second;
  bool written = connection->IsRequestWritten();
  connection->Abort();
  return written ? CancelResult::kMayHaveRun : CancelResult::kNotSent;
}

bool BackendConnectionPool::CancelIfUnsent(uint64_t attempt) {
  auto it = in_flight_.find(attempt);
  if (it == in_flight_.end() || it->second->IsRequestWritten()) return false;
  return Cancel(attempt) != CancelResult::kAlreadyEnded;
}

bool BackendConnectionPool::MustReadFirst(uint64_t attempt, UnreadBytesGrace* grace) const {
  auto it = in_flight_.find(attempt);
  return it != in_flight_.end() && it->second->MustReadFirst(grace);
}

void BackendConnectionPool::CloseIdle() {
  while (!idle_order_.empty()) CloseLongestIdle();
}

bool BackendConnectionPool::MaySend(const BackendConnection& connection) const {
  const Backend* b = Find(connection.backend());
  return b != nullptr && IsCurrent(connection, *b) && AcceptsNewRequests(*b);
}

void BackendConnectionPool::OnAttemptEnded(uint64_t attempt) { in_flight_.erase(attempt); }

bool BackendConnectionPool::KeepIdle(std::shared_ptr<BackendConnection> connection) {
  Backend* b = Find(connection->backend());
  if (b == nullptr || b->draining || !IsCurrent(*connection, *b)) return false;
  auto order = idle_order_.insert(idle_order_.end(), connection.get());
  b->idle.push_back({std::move(connection), order});
  return true;
}

void BackendConnectionPool::OnIdleClosing(BackendConnection* connection) {
  Backend* b = Find(connection->backend());
  if (b == nullptr) return;
  auto it = std::find_if(b->idle.begin(), b->idle.end(),
                         [&](const IdleConnection& idle) { return idle.connection.get() == connection; });
  if (it == b->idle.end()) return;
  idle_order_.erase(it->order);
  b->idle.erase(it);
}

void BackendConnectionPool::OnClosed() { --connections_; }

BackendConnectionPool::Backend* BackendConnectionPool::Find(uint32_t backend) {
  auto it = backends_.find(backend);
  return it == backends_.end() ? nullptr : it->second.get();
}

const BackendConnectionPool::Backend* BackendConnectionPool::Find(uint32_t backend) const {
  auto it = backends_.find(backend);
  return it == backends_.end() ? nullptr : it->second.get();
}

bool BackendConnectionPool::AcceptsNewRequests(const Backend& backend) {
  return !backend.draining || Clock::now() < backend.no_send_after;
}

// Returns the most recently used connection that has been idle for at least `min_idle_before_reuse_`, or null
// if there is none. Connections that turn out to be unusable are closed.
std::shared_ptr<BackendConnection> BackendConnectionPool::TakeIdle(Backend* backend) {
  auto& idle = backend->idle;
  for (;;) {
    auto found = std::find_if(idle.rbegin(), idle.rend(), [this](const IdleConnection& candidate) {
      return candidate.connection->HasBeenIdleFor(min_idle_before_reuse_);
    });
    if (found == idle.rend()) return nullptr;
    std::shared_ptr<BackendConnection> connection = std::move(found->connection);
    idle_order_.erase(found->order);
    idle.erase(std::prev(found.base()));
    // A connection past its idle timeout is not used, even if a stalled process has not run its timer yet.
    bool expired = connection->HasBeenIdleFor(timeouts_.idle);
    if (!expired && connection->IsReusable()) return connection;
    connection->Close();
  }
}

// Returns null if all connections are in use.
std::shared_ptr<BackendConnection> BackendConnectionPool::OpenNew(uint32_t id, const Backend& backend) {
  if (!EnsureCapacity()) return nullptr;
  ++connections_;
  BackendConnection::Owner* owner = this;
  return std::make_shared<BackendConnection>(io_, owner, timeouts_, id, backend.incarnation, backend.address);
}

// Closes the connection that has been idle longest if the pool is full. Returns false if the pool is full and
// no connection is idle.
bool BackendConnectionPool::EnsureCapacity() {
  if (connections_ < max_connections_) return true;
  if (idle_order_.empty()) return false;
  CloseLongestIdle();
  return true;
}

void BackendConnectionPool::CloseLongestIdle() {
  std::shared_ptr<BackendConnection> oldest = idle_order_.front()->shared_from_this();
  OnIdleClosing(oldest.get());
  oldest->Close();
}

void BackendConnectionPool::CloseIdleConnections(Backend* backend) {
  auto idle = std::move(backend->idle);
  backend->idle.clear();
  for (IdleConnection& closing : idle) {
    idle_order_.erase(closing.order);
    closing.connection->Close();
  }
}

}  // namespace gateway::net
