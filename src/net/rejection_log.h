// Logs how many requests ended without a backend's response, by cause, in at most one line per second.
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

// Counts requests by the cause of their end. A line contains the non-zero counts since the previous line and
// the client request id of the last request: "requests_ended over_quota=3 client_left=1 last_id=1f".
//
// Invariant: each request is counted in exactly one line, which is written within a second, or earlier by
// Flush().
class RejectionLog {
 public:
  enum class Cause {
    // Decisions of the admission policy.
    kInvalid,
    kOverQuota,
    kOverload,
    kNoBackend,
    kGivenUp,
    kFailed,  // given up after an attempt that may have had an effect
    // Causes found by the gateway itself.
    kDeadline,
    kShutdown,
    kClientLeft,
  };
  static constexpr size_t kCauseCount = 9;

  // `log` must outlive this object.
  RejectionLog(asio::io_context& io, Log* log) : log_(*log), timer_(io) {}

  static Cause CauseFor(policy::RejectReason reason);

  void Count(Cause cause, std::string_view client_request_id, Clock::time_point now);

  // Writes the counts that have not been written yet.
  void Flush();

 private:
  void FlushLater();

  Log& log_;
  std::array<size_t, kCauseCount> counts_{};
  std::string last_id_;
  Clock::time_point next_line_at_{};
  asio::steady_timer timer_;  // expires when the next line may be written
  bool flush_pending_ = false;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_REJECTION_LOG_H_
