// Logs how often events of several kinds occurred, in at most one line per second.
#ifndef GATEWAY_NET_EVENT_COUNT_LOG_H_
#define GATEWAY_NET_EVENT_COUNT_LOG_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/clock.h"
#include "net/log.h"
#include "net/socket_util.h"

namespace gateway::net {

// A line contains the name of the log event, the non-zero counts since the previous line, and a label of the
// last counted event: "requests_ended over_quota=3 client_left=1 last_id=1f".
//
// Invariant: each event is counted in exactly one line, which is written within a second, or earlier by
// Flush().
class EventCountLog {
 public:
  struct Keys {
    std::string event;                // the name of the log event
    std::vector<std::string> counts;  // by kind
    std::string last_label;
  };

  // `log` must outlive this object.
  EventCountLog(asio::io_context& io, Log* log, Keys keys)
      : keys_(std::move(keys)), log_(*log), counts_(keys_.counts.size()), timer_(io) {}

  // Counts one event of the kind. `label` may be any text; only its printable part is logged.
  void Count(size_t kind, std::string_view label, Clock::time_point now);

  // Writes the counts that have not been written yet.
  void Flush();

 private:
  void FlushLater();

  const Keys keys_;
  Log& log_;
  std::vector<size_t> counts_;  // by kind
  std::string last_label_;
  Clock::time_point next_line_at_{};
  asio::steady_timer timer_;  // expires when the next line may be written
  bool flush_pending_ = false;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_EVENT_COUNT_LOG_H_
