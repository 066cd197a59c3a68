// Log lines about requests that got no backend's answer: how many by which rule, at most one line a second.
#ifndef GATEWAY_NET_REJECTION_LOG_H_
#define GATEWAY_NET_REJECTION_LOG_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>

#include "net/clock.h"
#include "net/log.h"
#include "net/socket_util.h"
#include "policy/actions.h"

namespace gateway::net {

// Counts requests by the cause of their end. A line has the counts since the last line, none for a cause that
// did not come, and the last client's request id: "requests_ended over_quota=3 client_left=1 last_id=1f".
//
// Invariant: each count is written once, within a second, and at the latest by Flush().
class RejectionLog {
 public:
  enum class Cause {
    // The policy's.
    kInvalid,
    kOverQuota,
    kOverload,
    kNoBackend,
    kGivenUp,
    kFailed,  // given up, and may have had an effect
    // The gateway's own.
    kDeadline,
    kShutdown,
    kClientLeft,
  };
  static constexpr size_t kCauses = 9;

  // `log` outlives this.
  RejectionLog(asio::io_context& io, Log* log) : log_(*log), timer_(io) {}

  static Cause CauseOf(policy::RejectReason reason);

  void Count(Cause cause, std::string_view client_request_id, Clock::time_point now);

  // Writes what has been counted and not written.
  void Flush();

 private:
  void FlushLater();

  Log& log_;
  std::array<size_t, kCauses> counts_{};
  std::string last_id_;
  Clock::time_point next_line_at_{};
  asio::steady_timer timer_;  // of the next line
  bool flush_pending_ = false;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_REJECTION_LOG_H_
