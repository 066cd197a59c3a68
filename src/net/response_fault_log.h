// Logs how many responses of backends could not be used, by fault, in at most one line per second.
#ifndef GATEWAY_NET_RESPONSE_FAULT_LOG_H_
#define GATEWAY_NET_RESPONSE_FAULT_LOG_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "net/attempt_result.h"
#include "net/clock.h"
#include "net/event_count_log.h"
#include "net/log.h"

namespace gateway::net {

// Counts responses by their fault. The label of a line is the backend of the last one:
// "responses_unusable malformed=2 end_in_doubt=1 last_backend=3735928559".
class ResponseFaultLog {
 public:
  // `log` must outlive this object.
  ResponseFaultLog(asio::io_context& io, Log* log)
      : counts_(io, log,
                {"responses_unusable", {"none", "malformed", "truncated", "end_in_doubt"}, "last_backend"}) {}

  // Counts the response unless it has no fault.
  void Count(ResponseFault fault, uint32_t backend, Clock::time_point now) {
    if (fault == ResponseFault::kNone) return;
    counts_.Count(static_cast<size_t>(fault), std::to_string(backend), now);
  }

  // Writes the counts that have not been written yet.
  void Flush() { counts_.Flush(); }

 private:
  EventCountLog counts_;  // the keys are in the order of ResponseFault
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_RESPONSE_FAULT_LOG_H_
