// State of a request from its arrival until its last attempt has ended.
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
  double sent_at_running_s = 0;  // the same time on RunningClock
  uint64_t incarnation = 0;      // of the backend, when the attempt was sent
};

struct InFlightRequest {
  InFlightRequest() = default;
  InFlightRequest(const Request& arrived, double now_s, double running_s)
      : request(arrived),
        deadline_at_s(now_s + arrived.time_left_s),
        deadline_at_running_s(running_s + arrived.time_left_s) {}

  // Whether no attempt has been made, because the request waits for the counter's reply.
  bool IsWaitingForCounter() const { return attempts.empty(); }

  Request request;
  double deadline_at_s = 0;          // by the caller's clock
  double deadline_at_running_s = 0;  // on RunningClock, which reaches it later if a stall follows
  std::vector<Attempt> attempts;     // in the order of forwarding
  int attempts_in_flight = 0;
  // The final response has been given or the client has disconnected. Attempts may still be in flight.
  bool finished = false;
  bool response_started = false;
  bool within_quota = false;  // if true, the cost was charged to the tenant's quota
  // An attempt that has ended may have had its effect. The three fields below describe the first such
  // attempt.
  bool may_have_run = false;
  double first_run_sent_at_s = 0;
  int run_zone = 0;  // zone of its backend; -1 if unknown
  int run_cell = 0;  // cell of its backend; -1 if unknown
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_IN_FLIGHT_REQUEST_H_
