// Non-blocking TCP sockets: opening and closing, looking at what has come without reading it, and a write
// that always tells how much has reached the kernel.
#ifndef GATEWAY_NET_SOCKET_UTIL_H_
#define GATEWAY_NET_SOCKET_UTIL_H_

#include <boost/asio.hpp>
#include <cstddef>
#include <string>
#include <utility>

namespace gateway::net {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

inline constexpr size_t kReadChunkBytes = 4096;  // bytes that one read asks for

// Makes a connected or accepted socket non-blocking and turns off Nagle's algorithm. Returns the first error.
error_code ConfigureSocket(tcp::socket& socket);

// Opens an unconnected socket of the address's family and prepares it. Fails where descriptors or memory are
// exhausted.
error_code OpenSocket(tcp::socket& socket, const tcp::endpoint& address);

// Closes the socket at once, whatever is unread or unsent. Pending operations end with operation_aborted.
void CloseSocket(tcp::socket& socket);

// Whether the peer of an idle connection has closed it, or has sent bytes that belong to no request. Does not
// wait, and reads nothing.
bool IsStale(tcp::socket& socket);

// Whether bytes have come that were not read yet. Does not wait, and reads nothing.
bool HasUnreadBytes(tcp::socket& socket);

// Whether a connect that is under way has ended, in one way or the other. Does not wait.
bool HasConnectEnded(tcp::socket& socket);

// The default of WriteAll's `still_wanted`.
inline bool AlwaysWanted() { return true; }

// Writes `text` from byte `*sent` on: at once what the socket takes, which is nearly always everything in one
// system call, and the rest as the socket becomes writable.
//
// `on_done(error)` runs exactly once, within this call or later. The caller keeps `socket`, `text` and `sent`
// alive until then. `*sent` is advanced as bytes are handed to the kernel and never in a queued callback, so
// that whoever ends the exchange knows at any moment how much has reached the wire. `still_wanted` is called
// after each wait; if it returns false nothing more is written and the error is operation_aborted.
template <typename DoneFn, typename Predicate = bool (*)()>
void WriteAll(tcp::socket& socket, const std::string& text, size_t* sent, DoneFn on_done,
              Predicate still_wanted = &AlwaysWanted) {
  error_code error;
  while (*sent < text.size() && !error) {
    *sent += socket.send(asio::buffer(text.data() + *sent, text.size() - *sent), 0, error);
  }
  if (error != asio::error::would_block) return on_done(error);
  socket.async_wait(tcp::socket::wait_write, [&socket, &text, sent, on_done = std::move(on_done),
                                              still_wanted](error_code ended) mutable {
    if (!ended && !still_wanted()) ended = asio::error::operation_aborted;
    if (ended) return on_done(ended);
    WriteAll(socket, text, sent, std::move(on_done), still_wanted);
  });
}

}  // namespace gateway::net

#endif  // GATEWAY_NET_SOCKET_UTIL_H_
