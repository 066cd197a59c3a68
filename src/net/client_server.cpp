#include "net/client_server.h"

#include <poll.h>

#include <utility>
#include <vector>

namespace gateway::net {
namespace {

constexpr auto kAcceptBackoff = std::chrono::milliseconds(50);
constexpr int kAcceptQueueLength = 1024;  // connections

}  // namespace

ClientServer::ClientServer(asio::io_context& io, size_t max_connections, OnRequestFn on_request,
                           OnClosedFn on_closed, MaxEndCheckTimeFn max_end_check_time,
                           Clock::duration request_timeout)
    : io_(io),
      acceptor_(io),
      accept_backoff_(io),
      max_connections_(max_connections),
      request_timeout_(request_timeout),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)),
      max_end_check_time_(std::move(max_end_check_time)) {}

ClientServer::~ClientServer() {
  for (auto& [id, session] : sessions_) session->Detach();
}

void ClientServer::Listen(const tcp::endpoint& address) {
  acceptor_.open(address.protocol());
  // Lets a restarted gateway bind its address while connections of its predecessor are in TIME_WAIT.
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kAcceptQueueLength);
  Accept();
}

void ClientServer::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return AcceptAfterBackoff();
    OnAccepted(std::move(socket));
    if (sessions_.size() >= max_connections_) EvictSession(last_id_);
    accepting_paused_ = sessions_.size() >= max_connections_;
    if (!accepting_paused_) Accept();
  });
}

// Retries after a failed accept, which means that descriptors or memory are exhausted. The delay prevents a
// busy loop: the connection stays in the accept queue, so an immediate retry would fail again.
void ClientServer::AcceptAfterBackoff() {
  accept_backoff_.expires_after(kAcceptBackoff);
  accept_backoff_.async_wait([this](error_code cancelled) {
    if (!cancelled) Accept();
  });
}

void ClientServer::OnAccepted(tcp::socket socket) {
  ConfigureSocket(socket);
  uint64_t id = ++last_id_;
  ClientSession::Owner* owner = this;
  auto session = std::make_shared<ClientSession>(io_, owner, id, std::move(socket), request_timeout_);
  sessions_[id] = session;
  session->Start();
}

// Closes the session that has been idle longest, since a connection may be closed between requests, or else
// the one that has been incomplete longest. A session with unread bytes is closed only if there is no other,
// and never `protected_id`, the session that has just been accepted. Returns whether a session was closed.
bool ClientServer::EvictSession(uint64_t protected_id) {
  for (uint64_t id : std::vector<uint64_t>(idle_.begin(), idle_.end())) {
    if (id != protected_id && sessions_.at(id)->CloseIfIdle()) return true;
  }
  for (uint64_t id : std::vector<uint64_t>(incomplete_.begin(), incomplete_.end())) {
    if (sessions_.at(id)->CloseIfIncomplete()) return true;
  }
  for (uint64_t id : std::vector<uint64_t>(incomplete_.begin(), incomplete_.end())) {
    if (sessions_.at(id)->CloseIfLingering()) return true;
  }
  return EvictLongestIncomplete();
}

// Handles one session only, since the bytes that are read for it take time. If they complete its request, the
// next session is tried in another handler.
bool ClientServer::EvictLongestIncomplete() {
  if (incomplete_.empty()) return false;
  if (Find(incomplete_.front())->ReadThenCloseIfIncomplete()) return true;
  asio::post(io_, [this] { EvictIfPaused(); });
  return false;
}

void ClientServer::EvictIfPaused() {
  if (accepting_paused_) EvictSession(0);
}

// If every session had a request when the limit was reached, the first session that becomes idle again is
// evicted. Otherwise clients could wait in the accept queue forever. If its client has already sent further
// requests, those that have been read are answered with a rejection, as each of them could take long.
void ClientServer::EvictOrStopIfPaused(uint64_t idle_id) {
  if (!accepting_paused_ || EvictSession(0)) return;
  if (auto session = Find(idle_id)) session->StopReading();
}

// The eviction is posted, because the session is still completing its transition to idle.
void ClientServer::OnIdle(ClientSession* session) {
  session->eviction_position()->idle = idle_.insert(idle_.end(), session->id());
  if (!accepting_paused_) return;
  asio::post(io_, [this, id = session->id()] { EvictOrStopIfPaused(id); });
}

void ClientServer::OnIncomplete(ClientSession* session) {
  RemoveFromEvictionLists(session);
  session->eviction_position()->incomplete = incomplete_.insert(incomplete_.end(), session->id());
  if (accepting_paused_) asio::post(io_, [this] { EvictIfPaused(); });
}

void ClientServer::OnComplete(ClientSession* session) { RemoveFromEvictionLists(session); }

void ClientServer::OnRequest(ClientSession* session, Clock::duration held_back) {
  on_request_(session->id(), session->TakeRequest(), held_back);
}

void ClientServer::OnClosed(ClientSession* session, bool request_pending) {
  RemoveFromEvictionLists(session);
  sessions_.erase(session->id());
  on_closed_(session->id(), request_pending);
  if (accepting_paused_ && sessions_.size() < max_connections_) {
    accepting_paused_ = false;
    Accept();
  }
}

void ClientServer::RemoveFromEvictionLists(ClientSession* session) {
  EvictionPosition* position = session->eviction_position();
  if (position->idle.has_value()) idle_.erase(*position->idle);
  if (position->incomplete.has_value()) incomplete_.erase(*position->incomplete);
  *position = {};
}

// Returns a shared reference, because the session may be closed during the call that is made on it.
std::shared_ptr<ClientSession> ClientServer::Find(uint64_t connection) const {
  auto it = sessions_.find(connection);
  return it == sessions_.end() ? nullptr : it->second;
}

void ClientServer::Reply(uint64_t connection, Response response) {
  if (auto session = Find(connection)) session->Reply(std::move(response));
}

bool ClientServer::HasClientLeft(uint64_t connection) {
  auto it = sessions_.find(connection);
  return it == sessions_.end() || it->second->HasClientLeft();
}

bool ClientServer::MustMakeRoom(uint64_t connection) const {
  auto session = Find(connection);
  return session != nullptr && session->HasStoppedReading();
}

void ClientServer::Close(uint64_t connection) {
  if (auto session = Find(connection)) session->Close();
}

bool ClientServer::HasNoConnections() {
  pollfd waiting{acceptor_.native_handle(), POLLIN, 0};
  return sessions_.empty() && poll(&waiting, 1, 0) == 0;
}

void ClientServer::CloseIdle() {
  for (uint64_t id : std::vector<uint64_t>(idle_.begin(), idle_.end())) sessions_.at(id)->CloseIfIdle();
}

void ClientServer::CloseIncomplete() {
  CloseIdle();
  for (uint64_t id : std::vector<uint64_t>(incomplete_.begin(), incomplete_.end())) {
    sessions_.at(id)->CloseUnlessCompletedByUnreadBytes();
  }
}

}  // namespace gateway::net
