// The side towards clients: the listener, their connections, parsing and answers.
#ifndef GATEWAY_NET_CLIENT_SERVER_H_
#define GATEWAY_NET_CLIENT_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "net/backend_connection_pool.h"

namespace gateway::net {

using ClientRequest = http::request<http::string_body>;

struct Response {
  int status = 500;
  double retry_after_s = 0;  // 0: none
  std::string headers;       // further header lines
  std::string body;
};

class ClientServer {
 public:
  // Takes a whole request that came on `connection`; it is answered by Response, once, now or later.
  using OnRequest = std::function<void(uint64_t connection, ClientRequest)>;
  // The connection has ended; `held`: with a request on it that was not answered, so its client has gone.
  using OnClosed = std::function<void(uint64_t connection, bool held)>;

  // `request_whole`: for a connection's first request to be whole from when it was taken, and for a later one
  // from its first byte.
  ClientServer(asio::io_context& io, size_t most_connections, OnRequest on_request, OnClosed on_closed,
               Clock::duration request_whole = std::chrono::milliseconds(2500));
  ~ClientServer();

  void Listen(const tcp::endpoint& address);  // throws boost::system::system_error
  tcp::endpoint local() const { return acceptor_.local_endpoint(); }
  void Reply(uint64_t connection, Response answer);
  // Whether its client has closed it or ended its sending, whatever is still unread: asked of the socket,
  // since the event may wait behind others in a busy loop.
  bool HasClientLeft(uint64_t connection);
  void Close(uint64_t connection);  // of a client that has gone

  void CloseAfterResponses() { asking_to_close_ = true; }  // from now on each answer ends its connection
  void CloseIdle();                                        // those on which nothing has begun
  void CloseIncomplete();  // those as well that have begun and of which nothing waits unread
  size_t incomplete() const { return incomplete_.size(); }
  bool HasNoConnections();  // no connection is open, and none waits to be accepted

 private:
  class Connection;

  void Accept();
  void Taken(tcp::socket socket);
  void MakeRoom(uint64_t spared);
  void ResumeSoon();

  asio::io_context& io_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_;
  const size_t most_;
  const Clock::duration request_whole_;
  OnRequest on_request_;
  OnClosed on_closed_;
  uint64_t last_ = 0;
  bool asking_to_close_ = false, paused_ = false;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  std::list<uint64_t> idle_;        // longest idle first
  std::list<uint64_t> incomplete_;  // begun but not whole, or lingering: the first to begin first
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLIENT_SERVER_H_
