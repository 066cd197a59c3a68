#include "net/socket_util.h"

#include <poll.h>

namespace gateway::net {

error_code ConfigureSocket(tcp::socket& socket) {
  error_code error;
  socket.non_blocking(true, error);
  if (!error) socket.set_option(tcp::no_delay(true), error);
  return error;
}

error_code OpenSocket(tcp::socket& socket, const tcp::endpoint& address) {
  error_code error;
  socket.open(address.protocol(), error);
  return error ? error : ConfigureSocket(socket);
}

void CloseSocket(tcp::socket& socket) {
  error_code ignored;
  socket.close(ignored);
}

bool IsStale(tcp::socket& socket) {
  char byte;
  error_code error;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

bool HasUnreadBytes(tcp::socket& socket) {
  char byte;
  error_code error;
  return socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error) > 0;
}

size_t UnreadBytes(tcp::socket& socket) {
  error_code ignored;
  return socket.available(ignored);
}

bool HasConnectEnded(tcp::socket& socket) {
  pollfd descriptor{socket.native_handle(), POLLOUT, 0};
  return poll(&descriptor, 1, 0) > 0;
}

}  // namespace gateway::net
