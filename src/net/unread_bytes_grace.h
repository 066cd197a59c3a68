// Bounds the time for which unread bytes put off a time-out.
#ifndef GATEWAY_NET_UNREAD_BYTES_GRACE_H_
#define GATEWAY_NET_UNREAD_BYTES_GRACE_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace gateway::net {

// After the process has stalled, a time-out and the bytes that arrived before it are due at the same moment.
// The bytes must be read first, as they may complete the message. A peer that sends as fast as it is read has
// unread bytes at all times and must still time out.
//
// Rule: a time-out that is due waits until the bytes that are unread at that moment have been read, and not
// for bytes that arrive later. A message may be larger than the receive window, so that a part of it arrives
// only while the part before it is read: the time-out therefore waits again, for a limited number of times.
class UnreadBytesGrace {
 public:
  // For messages of up to eight receive windows of 64 KiB, as a body of 64 KiB in chunks of one byte has six.
  static constexpr int kDefaultMaxWaits = 8;

  // How a connection reads.
  enum class Reading {
    kInHandlers,  // bytes stay in the socket until a handler reads and parses them
    kAhead,       // a read that has begun may have taken bytes for a handler that has not run yet
  };

  explicit UnreadBytesGrace(int max_waits = kDefaultMaxWaits) : max_waits_(max_waits) {}

  // Returns whether the time-out, which is due, has to wait. `read_bytes` counts what has been read from the
  // connection since it was opened, up to the last handler. A read must be pending. If `reading` is kAhead,
  // the time-out must be tried again after the handlers that are ready now.
  bool MustWait(uint64_t read_bytes, size_t unread_bytes, Reading reading = Reading::kInHandlers) {
    if (read_bytes < wait_until_read_bytes_) return true;
    bool all_handled = reading == Reading::kInHandlers || read_bytes == last_read_bytes_;
    if (unread_bytes == 0 && all_handled) return false;
    if (waits_ == max_waits_) return false;
    ++waits_;
    last_read_bytes_ = read_bytes;
    wait_until_read_bytes_ = read_bytes + unread_bytes;
    return true;
  }

  // Must be called when the time-out has been handled or is no longer due.
  void Reset() { *this = UnreadBytesGrace(max_waits_); }

 private:
  int max_waits_;
  int waits_ = 0;
  uint64_t wait_until_read_bytes_ = 0;
  std::optional<uint64_t> last_read_bytes_;  // when the time-out was last put off
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_UNREAD_BYTES_GRACE_H_
