// A request between its arrival and the end of its last attempt.
#ifndef GATEWAY_POLICY_IN_FLIGHT_REQUEST_H_
#define GATEWAY_POLICY_IN_FLIGHT_REQUEST_H_

#include <cstdint>
#include <vector>

#include "policy/events.h"

namespace gateway::policy {

struct Attempt {
  uint32_t backend_id = 0;
  double sent_at_s = 0;
  bool in_flight = false;
  double sent_at_running_s = 0;  // the same by RunningClock
};

struct InFlightRequest {
  InFlightRequest() = default;
  InFlightRequest(const Request& arrived, double now_s, double running_s)
      : request(arrived),
        deadline_at_s(now_s + arrived.time_left_s),
        deadline_at_running_s(running_s + arrived.time_left_s) {}

  // No attempt has been made: the request waits for the counter's reply.
  bool IsWaitingForCounter() const { return attempts.empty(); }

  Request request;
  double deadline_at_s = 0;          // clock
  double deadline_at_running_s = 0;  // the same by RunningClock, of a process that has not stood still since
  std::vector<Attempt> attempts;     // in the order in which they were forwarded
  int attempts_in_flight = 0;
  bool finished = false;  // its final answer is given, or its client has left; attempts may be in flight
  bool response_started = false;
  bool within_quota = false;       // charged to the tenant's quota
  bool may_have_run = false;       // an attempt that ended may have had its effect:
  double first_run_sent_at_s = 0;  // the first such was sent then,
  int run_zone = 0;                // to a backend of this zone and cell
  int run_cell = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_IN_FLIGHT_REQUEST_H_
