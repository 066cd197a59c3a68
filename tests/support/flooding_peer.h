// Peers that fill their sockets for ever, and messages that never end.
#ifndef GATEWAY_TESTS_SUPPORT_FLOODING_PEER_H_
#define GATEWAY_TESTS_SUPPORT_FLOODING_PEER_H_

#include <sys/socket.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/http_message.h"
#include "support/test_connection.h"

namespace gateway::test_support {

// Writes the same bytes again and again, as fast as the other side reads them, until the connection ends or
// the peer is destroyed, which shuts the connection down. The connection must outlive the peer.
class FloodingPeer {
 public:
  FloodingPeer(TestConnection& connection, std::string bytes)
      : connection_(connection), thread_([this, bytes = std::move(bytes)] { Flood(bytes); }) {}
  ~FloodingPeer() {
    connection_.Stop();
    thread_.join();
  }
  FloodingPeer(const FloodingPeer&) = delete;
  FloodingPeer& operator=(const FloodingPeer&) = delete;

  uint64_t sent_bytes() const { return sent_bytes_; }
  // Whether the connection has ended, so that nothing is written any more.
  bool ended() const { return ended_; }

 private:
  void Flood(const std::string& bytes) {
    for (;;) {
      ssize_t size = send(connection_.fd(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0) break;
      sent_bytes_ += static_cast<uint64_t>(size);
    }
    ended_ = true;
  }

  TestConnection& connection_;
  std::atomic<uint64_t> sent_bytes_{0};
  std::atomic<bool> ended_{false};
  std::thread thread_;
};

// A message that never ends: a peer sends `begin` once and `rest` for ever.
struct EndlessMessage {
  const char* form;
  std::string begin, rest;
};

// Returns a response in each form whose rest may go on for long.
inline std::vector<EndlessMessage> EndlessResponses() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"field", head + "X-More: ", "x"},
          {"field of an interim response", "HTTP/1.1 103 Early Hints\r\nX-More: ", "x"},
          {"body", head + "Content-Length: 60000\r\n\r\n", "b"},
          {"body until the end of the connection", head + "\r\n", "b"},
          {"extension", chunked + "1;", "x"},
          {"chunks", chunked, "1\r\nb\r\n"},
          {"trailer", chunked + "0\r\nX-More: ", "x"},
          {"second copy", OkResponse("body") + head + "X-More: ", "x"}};
}

// Returns chunks of one byte, each with an extension of this length (RFC 9112, 7.1.1).
inline std::string ChunksWithExtensions(size_t extension_bytes, int count = 16) {
  const std::string chunk = "1;x=" + std::string(extension_bytes, 'x') + "\r\ny\r\n";
  std::string chunks;
  for (int i = 0; i < count; ++i) chunks += chunk;
  return chunks;
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_FLOODING_PEER_H_
