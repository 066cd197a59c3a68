// The client-facing side of the gateway: the listener, the limit on client connections, and the eviction of
// connections when the limit is reached.
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

// Accepts client connections and owns their sessions, each under an id that is never reused.
//
// When the number of sessions reaches the limit, the session that has been idle longest is closed, or else
// the one whose request has been incomplete, or held back, longest. If every session has a complete request,
// no connection is accepted until one of them becomes idle again. Bytes that have arrived and are unread may
// complete a request, so they are read before a session is closed, but a client cannot keep its session by
// sending ever more. Runs on the thread of its io_context.
class ClientServer final : private ClientSession::Owner {
 public:
  // Receives a request that was complete `held_back` ago. It must be answered once by Reply, within the call
  // or later.
  using OnRequestFn =
      std::function<void(uint64_t connection, ClientRequest request, Clock::duration held_back)>;
  // See ClientSession::Owner::MaxEndCheckTime.
  using MaxEndCheckTimeFn = std::function<Clock::duration(const ClientRequest&)>;
  // Called when a connection has been closed. `request_pending` tells whether it held an unanswered request,
  // whose client has therefore disconnected.
  using OnClosedFn = std::function<void(uint64_t connection, bool request_pending)>;

  // `request_timeout` limits how long a request may take to arrive completely: the first request of a
  // connection counts from the accept, and each later request from its first byte.
  ClientServer(asio::io_context& io, size_t max_connections, OnRequestFn on_request, OnClosedFn on_closed,
               MaxEndCheckTimeFn max_end_check_time,
               Clock::duration request_timeout = std::chrono::milliseconds(2500));
  // Closes all connections without calling a callback.
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  // Throws boost::system::system_error if it cannot listen on the address.
  void Listen(const tcp::endpoint& address);
  tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  // Answers the request of a connection. Does nothing if the connection has been closed.
  void Reply(uint64_t connection, Response response);

  // Whether the client has closed the connection or its sending side, even if data is still unread. Queries
  // the socket, because in a busy event loop the event may be queued behind others. True for a connection
  // that has been closed.
  bool HasClientLeft(uint64_t connection);

  // Whether another client waits for this connection to close, and further requests on it are to be rejected.
  bool MustMakeRoom(uint64_t connection) const;

  // Closes the connection of a client that has disconnected.
  void Close(uint64_t connection);

  // From now on the connection is closed after each response, unless the client has already sent another
  // request on it.
  void CloseAfterResponses() { closes_after_responses_ = true; }
  // Closes the idle connections, except those with unprocessed bytes from the client.
  void CloseIdle();
  // Closes the idle connections and also those that are lingering or whose request is incomplete. Bytes that
  // have arrived are read first: a connection stays if they complete its request.
  void CloseIncomplete();

  // The number of sessions that can be evicted as incomplete.
  size_t incomplete_count() const { return incomplete_.size(); }
  // Whether no connection is open and none is waiting to be accepted.
  bool HasNoConnections();

 private:
  using SessionIds = std::list<uint64_t>;

  void OnIdle(ClientSession* session) override;
  void OnIncomplete(ClientSession* session) override;
  void OnComplete(ClientSession* session) override;
  Clock::duration MaxEndCheckTime(const ClientRequest& request) const override {
    return max_end_check_time_(request);
  }
  void OnRequest(ClientSession* session, Clock::duration held_back) override;
  void OnClosed(ClientSession* session, bool request_pending) override;
  bool ClosesAfterResponses() const override { return closes_after_responses_; }

  void Accept();
  void OnAccepted(tcp::socket socket);
  void AcceptAfterBackoff();
  bool EvictSession(uint64_t protected_id);
  bool EvictLongestIncomplete();
  void EvictIfPaused();
  void EvictOrStopIfPaused(uint64_t idle_id);
  void RemoveFromEvictionLists(ClientSession* session);
  std::shared_ptr<ClientSession> Find(uint64_t connection) const;

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_backoff_;
  const size_t max_connections_;
  const Clock::duration request_timeout_;
  OnRequestFn on_request_;
  OnClosedFn on_closed_;
  MaxEndCheckTimeFn max_end_check_time_;
  uint64_t last_id_ = 0;
  bool closes_after_responses_ = false;
  bool accepting_paused_ = false;  // the limit on connections is reached
  std::unordered_map<uint64_t, std::shared_ptr<ClientSession>> sessions_;
  SessionIds idle_;  // the longest idle session first
  // Sessions whose request is incomplete, and lingering sessions; those in this condition longest come first.
  SessionIds incomplete_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLIENT_SERVER_H_
