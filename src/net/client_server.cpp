#include "net/client_server.h"

#include <poll.h>

#include <utility>
#include <vector>

namespace gateway::net {
namespace {

constexpr auto kAcceptBackoff = std::chrono::milliseconds(50);
constexpr int kAcceptQueue = 1024;  // connections

}  // namespace

ClientServer::ClientServer(asio::io_context& io, size_t max_connections, OnRequestFn on_request,
                           OnClosedFn on_closed, Clock::duration request_timeout)
    : io_(io),
      acceptor_(io),
      accept_backoff_(io),
      max_connections_(max_connections),
      request_timeout_(request_timeout),
      on_request_(std::move(on_request)),
      on_closed_(std::move(on_closed)) {}

ClientServer::~ClientServer() {
  for (auto& [id, session] : sessions_) session->Detach();
}

void ClientServer::Listen(const tcp::endpoint& address) {
  acceptor_.open(address.protocol());
  // So that a restarted gateway gets its address while connections of the one before are in TIME_WAIT.
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(kAcceptQueue);
  Accept();
}

void ClientServer::Accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) return AcceptAfterBackoff();
    OnAccepted(std::move(socket));
    if (sessions_.size() >= max_connections_) MakeRoom(last_id_);
    accepting_paused_ = sessions_.size() >= max_connections_;
    if (!accepting_paused_) Accept();
  });
}

// Descriptors or memory are exhausted. Guards against a spinning loop: the connection stays in the accept
// queue, so that a call made at once would fail again.
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

// Closes the session that has been idle longest, as a connection may be closed between requests; or else the
// one that has been incomplete longest. Never one whose bytes are here unread: the rest of its request may be
// among them. Nor `spared`, the id of one that has just been accepted.
void ClientServer::MakeRoom(uint64_t spared) {
  for (uint64_t id : std::vector<uint64_t>(idle_.begin(), idle_.end())) {
    if (id != spared && sessions_.at(id)->CloseIfIdle()) return;
  }
  for (uint64_t id : std::vector<uint64_t>(incomplete_.begin(), incomplete_.end())) {
    if (sessions_.at(id)->CloseIfIncomplete()) return;
  }
}

// Guards against clients that wait in the accept queue for ever: where every session had a request when the
// last place was taken, the first to be idle again makes room. Posted: the session is in the middle of
// becoming so.
void ClientServer::MakeRoomWhenPaused() {
  if (!accepting_paused_) return;
  asio::post(io_, [this] {
    if (accepting_paused_) MakeRoom(0);
  });
}

void ClientServer::OnIdle(ClientSession* session) {
  session->eviction_position()->idle = idle_.insert(idle_.end(), session->id());
  MakeRoomWhenPaused();
}

void ClientServer::OnIncomplete(ClientSession* session) {
  RemoveFromEviction(session);
  session->eviction_position()->incomplete = incomplete_.insert(incomplete_.end(), session->id());
}

void ClientServer::OnComplete(ClientSession* session) { RemoveFromEviction(session); }

void ClientServer::OnRequest(ClientSession* session) { on_request_(session->id(), session->TakeRequest()); }

void ClientServer::OnClosed(ClientSession* session, bool request_pending) {
  RemoveFromEviction(session);
  sessions_.erase(session->id());
  on_closed_(session->id(), request_pending);
  if (accepting_paused_ && sessions_.size() < max_connections_) {
    accepting_paused_ = false;
    Accept();
  }
}

void ClientServer::RemoveFromEviction(ClientSession* session) {
  EvictionPosition* position = session->eviction_position();
  if (position->idle.has_value()) idle_.erase(*position->idle);
  if (position->incomplete.has_value()) incomplete_.erase(*position->incomplete);
  *position = {};
}

// A reference of its own, as the session may be closed within the call that is made on it.
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
    sessions_.at(id)->CloseIfIncomplete();
  }
}

}  // namespace gateway::net
