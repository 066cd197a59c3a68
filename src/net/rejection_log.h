// Logs how many requests ended without a backend's response, by cause, in at most one line per second.
#ifndef GATEWAY_NET_REJECTION_LOG_H_
#define GATEWAY_NET_REJECTION_LOG_H_

#include <cstddef>
#include <string_view>

#include "net/clock.h"
#include "net/event_count_log.h"
#include "net/log.h"
#include "net/socket_util.h"
#include "policy/actions.h"

namespace gateway::net {

// Counts requests by the cause of their end. The label of a line is the client request id of the last
// request: "requests_ended over_quota=3 client_left=1 last_id=1f".
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
    kConnectionLimit,  // another client waited for the connection
  };

  // `log` must outlive this object.
  RejectionLog(asio::io_context& io, Log* log);

  static Cause CauseFor(policy::RejectReason reason);

  void Count(Cause cause, std::string_view client_request_id, Clock::time_point now) {
    counts_.Count(static_cast<size_t>(cause), client_request_id, now);
  }

  // Writes the counts that have not been written yet.
  void Flush() { counts_.Flush(); }

 private:
  EventCountLog counts_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_REJECTION_LOG_H_
