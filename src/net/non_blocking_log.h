// The log of the process: lines on a descriptor that nobody may be reading.
#ifndef GATEWAY_NET_NON_BLOCKING_LOG_H_
#define GATEWAY_NET_NON_BLOCKING_LOG_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "net/log.h"
#include "net/log_descriptor.h"
#include "net/socket_util.h"

namespace gateway::net {

// A line for which there is no room is dropped and counted. As soon as there is room again, and before any
// other line, "log_resumed log_lines_dropped=N" is written. Guards against a log collector that hangs: a
// gateway that waited for it would answer nobody.
//
// Invariants: no line is cut in two by another one; a line has at most kMaxLineBytes, its end included, and
// only printable characters.
class NonBlockingLog final : public Log {
 public:
  // Below PIPE_BUF, so that a line goes into a pipe complete or not at all.
  static constexpr size_t kMaxLineBytes = 1024;

  // `descriptor` outlives the log.
  NonBlockingLog(asio::io_context& io, LogDescriptor* descriptor);
  // Writes what is due, as far as there is room.
  ~NonBlockingLog();
  NonBlockingLog(const NonBlockingLog&) = delete;
  NonBlockingLog& operator=(const NonBlockingLog&) = delete;

  void Write(std::string_view line) override;

 private:
  bool WriteDue();
  bool WriteLine(std::string line);
  void RetryLater();

  LogDescriptor* const descriptor_;
  std::string unwritten_;  // rest of a line whose first part is written
  size_t dropped_lines_ = 0;
  asio::steady_timer retry_timer_;
  bool retry_pending_ = false;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_NON_BLOCKING_LOG_H_
