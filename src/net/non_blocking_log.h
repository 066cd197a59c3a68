// The log of the process, which never blocks the process even if nothing reads the log.
#ifndef GATEWAY_NET_NON_BLOCKING_LOG_H_
#define GATEWAY_NET_NON_BLOCKING_LOG_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "net/log.h"
#include "net/log_descriptor.h"
#include "net/socket_util.h"

namespace gateway::net {

// A line for which the descriptor has no room is dropped and counted. As soon as there is room again, and
// before any other line, "log_resumed log_lines_dropped=N" is written. A gateway that waited for a log
// collector that hangs could not answer any request.
//
// Invariants: lines are never interleaved. A line has at most kMaxLineBytes including its newline, which is
// its only control character.
class NonBlockingLog final : public Log {
 public:
  // Below PIPE_BUF, so that a line is written to a pipe completely or not at all.
  static constexpr size_t kMaxLineBytes = 1024;

  // `descriptor` must outlive the log.
  NonBlockingLog(asio::io_context& io, LogDescriptor* descriptor);
  // Writes the rest of an incomplete line and the count of dropped lines if there is room for them.
  ~NonBlockingLog();
  NonBlockingLog(const NonBlockingLog&) = delete;
  NonBlockingLog& operator=(const NonBlockingLog&) = delete;

  void Write(std::string_view line) override;

 private:
  bool WritePending();
  bool WriteLine(std::string line);
  void RetryLater();

  LogDescriptor* const descriptor_;
  std::string unwritten_;  // the rest of a line of which only the first part has been written
  size_t dropped_lines_ = 0;
  asio::steady_timer retry_timer_;
  bool retry_pending_ = false;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_NON_BLOCKING_LOG_H_
