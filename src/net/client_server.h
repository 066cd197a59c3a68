// The side towards clients: the listener, the limit on connections, and which of them make room for new ones.
#ifndef GATEWAY_NET_CLIENT_SERVER_H_
#define GATEWAY_NET_CLIENT_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "net/client_response.h"
#include "net/client_session.h"
#include "net/clock.h"
#include "net/socket_util.h"

namespace gateway::net {

// Accepts clients and holds their sessions, each under an id that is never used again.
//
// When the last free place is taken, the session that has been idle longest is closed, or else the one that
// has been incomplete longest. Where all sessions have a request, nothing is accepted until one of them is
// idle again. Runs on the thread of its io_context.
class ClientServer final : private ClientSession::Owner {
 public:
  // Receives a complete request. It is answered once by Reply, within the call or later.
  using OnRequestFn = std::function<void(uint64_t connection, ClientRequest)>;
  // A connection has ended; `request_pending`: with a request on it that was not answered, so its client has
  // left.
  using OnClosedFn = std::function<void(uint64_t connection, bool request_pending)>;

  // `request_timeout`: for a connection's first request to be complete from when it was accepted, and for a
  // later one from its first byte.
  ClientServer(asio::io_context& io, size_t max_connections, OnRequestFn on_request, OnClosedFn on_closed,
               Clock::duration request_timeout = std::chrono::milliseconds(2500));
  // Closes all connections without a callback.
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  // Throws boost::system::system_error where the address cannot be listened on.
  void Listen(const tcp::endpoint& address);
  tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  // Answers the request of a connection; no-op where that has ended.
  void Reply(uint64_t connection, Response response);

  // Whether the client has closed the connection or ended its sending, whatever is still unread. Asked of the
  // socket, since the event may be queued behind others in a busy loop. True for a connection that has ended.
  bool HasClientLeft(uint64_t connection);

  // Closes the connection of a client that has left.
  void Close(uint64_t connection);

  // From now on each response ends its connection, unless its client has sent a further request by then.
  void CloseAfterResponses() { closes_after_responses_ = true; }
  // Closes the connections on which no request has begun, but for those with bytes of the client.
  void CloseIdle();
  // The same, and those whose request is incomplete or that linger.
  void CloseIncomplete();

  size_t incomplete() const { return incomplete_.size(); }
  // Whether no connection is open and none waits to be accepted.
  bool HasNoConnections();

 private:
  using SessionIds = std::list<uint64_t>;

  void OnIdle(ClientSession* session) override;
  void OnIncomplete(ClientSession* session) override;
  void OnComplete(ClientSession* session) override;
  void OnRequest(ClientSession* session) override;
  void OnClosed(ClientSession* session, bool request_pending) override;
  bool ClosesAfterResponses() const override { return closes_after_responses_; }

  void Accept();
  void OnAccepted(tcp::socket socket);
  void AcceptAfterBackoff();
  void MakeRoom(uint64_t spared);
  void MakeRoomWhenPaused();
  void RemoveFromEviction(ClientSession* session);
  std::shared_ptr<ClientSession> Find(uint64_t connection) const;

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_backoff_;
  const size_t max_connections_;
  const Clock::duration request_timeout_;
  OnRequestFn on_request_;
  OnClosedFn on_closed_;
  uint64_t last_id_ = 0;
  bool closes_after_responses_ = false;
  bool accepting_paused_ = false;  // all places are taken
  std::unordered_map<uint64_t, std::shared_ptr<ClientSession>> sessions_;
  SessionIds idle_;        // the longest idle first
  SessionIds incomplete_;  // with a begun request, or lingering; the longest so first
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLIENT_SERVER_H_
