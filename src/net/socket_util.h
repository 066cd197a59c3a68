// Utilities for non-blocking TCP sockets. They open and close sockets, check for received bytes without
// reading them, and write with a count of the bytes that have reached the kernel.
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

inline constexpr size_t kReadChunkBytes = 4096;  // maximum size of one read

// Makes a connected or accepted socket non-blocking and turns off Nagle's algorithm. Returns the first error.
error_code ConfigureSocket(tcp::socket& socket);

// Opens and configures an unconnected socket of the address's family. Fails if file descriptors or memory are
// exhausted.
error_code OpenSocket(tcp::socket& socket, const tcp::endpoint& address);

// Closes the socket immediately, even if bytes are unread or unsent. Pending operations end with
// operation_aborted.
void CloseSocket(tcp::socket& socket);

// Returns whether the peer of an idle connection has closed it or has sent bytes that belong to no request.
// Does not block and consumes no bytes.
bool IsStale(tcp::socket& socket);

// Returns whether bytes have been received but not yet read. Does not block and consumes no bytes.
bool HasUnreadBytes(tcp::socket& socket);

// Returns how many bytes have been received but not yet read. Does not block.
size_t UnreadBytes(tcp::socket& socket);

// Returns whether a pending connect has succeeded or failed. Does not block.
bool HasConnectEnded(tcp::socket& socket);

// The default for WriteAll's `still_wanted`.
inline bool AlwaysWanted() { return true; }

// Writes `text` from byte `*sent` on. It immediately writes what the socket accepts, which is nearly always
// everything in one system call, and writes the rest when the socket becomes writable.
//
// `on_done(error)` runs exactly once, within this call or later. The caller must keep `socket`, `text` and
// `sent` alive until then. `*sent` is updated as bytes are handed to the kernel, never in a queued callback,
// so that code that aborts the exchange knows at any time how many bytes may have been sent. `still_wanted`
// is called after each wait; if it returns false, nothing more is written and the error is operation_aborted.
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
