// The table of requests that the gateway has accepted from clients and has not finished.
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
#include "net/recent_request_ids.h"
#include "net/unread_bytes_grace.h"

namespace gateway::net {

inline constexpr uint32_t kNoRequest = 0;  // never the id of a request

// One attempt to forward a request to a backend. It is in flight from the policy's ForwardAttempt action
// until its outcome is reported to the policy.
struct InFlightAttempt {
  uint32_t backend_id = 0;
  uint64_t pool_attempt_id = 0;  // 0 if the attempt was never passed to the connection pool
  bool in_flight = false;
  // For the request's deadline and for a policy timer of the request.
  UnreadBytesGrace deadline_grace{}, policy_timer_grace{};
};

// A client's request. It is kept from its arrival until it has been answered and none of its attempts is in
// flight.
struct InFlightRequest {
  uint64_t connection_id = 0;  // connection to the client
  std::string client_request_id;
  // Head of the message to backends: request line and fields, without the time-out field and the final empty
  // line, which are added for each attempt.
  std::string head;
  std::string body;
  Clock::time_point deadline;  // for the final response
  std::vector<InFlightAttempt> attempts;
  bool answered = false;      // the final response was sent, or the client disconnected
  bool client_left = false;   // the client disconnected before its response
  bool may_have_run = false;  // a backend may have executed an attempt that has ended
  bool idempotent = false;

  bool HasAttemptInFlight() const;
};

// Owns the requests. A pointer or reference to a request is valid until EraseIfComplete() removes the
// request; adding requests does not invalidate it. An id is not reused while its request is in the table.
class InFlightRequests {
 public:
  // Adds an unanswered request and returns its id. `connection_id` must have no other unanswered request.
  uint32_t Add(uint64_t connection_id, std::string_view client_request_id);

  InFlightRequest* Find(uint32_t id);  // null if there is no such request
  InFlightRequest& At(uint32_t id) { return requests_.at(id); }
  const InFlightRequest& At(uint32_t id) const { return requests_.at(id); }

  // Returns the id of the connection's unanswered request, if it has one.
  std::optional<uint32_t> FindUnanswered(uint64_t connection_id) const;
  bool empty() const { return requests_.empty(); }
  bool HasUnanswered() const { return !unanswered_by_connection_.empty(); }

  // Whether a request with this client request id is in the table, or was until recently, may have run and
  // was never answered because its client left. A request is in the table until it is removed, which may be
  // after its response if an attempt is still in flight. A backend that received two requests with the same
  // id would treat the second as a repetition of the first.
  bool IsClientRequestIdInUse(std::string_view client_request_id);

  void MarkAnswered(uint32_t id);
  // Marks a request as answered whose client has disconnected.
  void MarkClientLeft(uint32_t id);

  // Must be called when a policy timer of the request has been handled. Does nothing if there is no such
  // request.
  void ResetPolicyTimerGrace(uint32_t id);

  // Removes the request if it has been answered and none of its attempts is in flight, except between
  // BeginOutcomeHandling() and EndOutcomeHandling() for this request.
  void EraseIfComplete(uint32_t id);

  // These two calls enclose the handling of an attempt's outcome and keep the request in the table meanwhile.
  // Otherwise the response that results from the outcome would remove the request before the outcome is
  // reported to the policy.
  void BeginOutcomeHandling(uint32_t id) { outcome_request_id_ = id; }
  void EndOutcomeHandling() { outcome_request_id_ = kNoRequest; }

 private:
  std::unordered_map<uint32_t, InFlightRequest> requests_;
  std::unordered_map<uint64_t, uint32_t> unanswered_by_connection_;
  std::unordered_set<std::string> client_request_ids_;
  RecentRequestIds abandoned_ids_;  // of requests that may have run and whose clients left
  uint32_t last_id_ = kNoRequest;
  uint32_t outcome_request_id_ = kNoRequest;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_IN_FLIGHT_REQUESTS_H_
