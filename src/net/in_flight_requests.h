// The table of requests that the gateway has taken from clients and is not done with.
#ifndef GATEWAY_NET_IN_FLIGHT_REQUESTS_H_
#define GATEWAY_NET_IN_FLIGHT_REQUESTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/clock.h"

namespace gateway::net {

inline constexpr uint32_t kNoRequest = 0;  // no request has this id

// One attempt at a backend. It is in flight from the policy's action until its outcome is reported.
struct InFlightAttempt {
  uint32_t backend_id = 0;
  uint64_t pool_attempt_id = 0;  // 0 where the attempt never reached the pool
  bool in_flight = false;
};

// One request, from its arrival until it is answered and none of its attempts is in flight.
struct InFlightRequest {
  uint64_t connection_id = 0;  // the client's
  std::string client_request_id;
  std::string head;  // to backends: request line and fields, but for the time-out and the empty line
  std::string body;
  Clock::time_point deadline;  // of the final answer
  std::vector<InFlightAttempt> attempts;
  bool answered = false;      // it has its final answer, or its client has gone
  bool may_have_run = false;  // an attempt ended in a way that leaves this open
  bool idempotent = false;

  bool HasAttemptInFlight() const;
};

// Owns the requests. A pointer or reference to one holds until EraseIfComplete() drops it; adding others does
// not move it. An id is not used again while its request is here.
class InFlightRequests {
 public:
  // Adds an unanswered request. `connection_id` has no other that is unanswered.
  uint32_t Add(uint64_t connection_id, std::string_view client_request_id);

  InFlightRequest* Find(uint32_t id);  // null where there is none
  InFlightRequest& At(uint32_t id) { return requests_.at(id); }
  const InFlightRequest& At(uint32_t id) const { return requests_.at(id); }

  // The unanswered request of a client's connection.
  std::optional<uint32_t> FindUnanswered(uint64_t connection_id) const;
  bool empty() const { return requests_.empty(); }
  bool HasUnanswered() const { return !unanswered_by_connection_.empty(); }

  // Guards against two requests of one id at a backend, which would take the second for a repeat of the
  // first: the id counts as in use until the request is dropped, so also while an attempt outlives the
  // answer.
  bool IsClientRequestIdInUse(std::string_view client_request_id) const;

  void MarkAnswered(uint32_t id);

  // Drops the request if it is answered and no attempt is in flight, except between BeginOutcome() and
  // EndOutcome() for it.
  void EraseIfComplete(uint32_t id);

  // Keep a request while the outcome of one of its attempts is handled: the answer that the outcome brings
  // about would drop the request before the outcome is reported to the policy.
  void BeginOutcome(uint32_t id) { outcome_request_id_ = id; }
  void EndOutcome() { outcome_request_id_ = kNoRequest; }

 private:
  std::unordered_map<uint32_t, InFlightRequest> requests_;
  std::unordered_map<uint64_t, uint32_t> unanswered_by_connection_;
  std::unordered_set<std::string> client_request_ids_;
  uint32_t last_id_ = kNoRequest;
  uint32_t outcome_request_id_ = kNoRequest;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_IN_FLIGHT_REQUESTS_H_
