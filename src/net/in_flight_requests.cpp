#include "net/in_flight_requests.h"

#include <algorithm>
#include <utility>

namespace gateway::net {

bool InFlightRequest::HasAttemptInFlight() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const InFlightAttempt& attempt) { return attempt.in_flight; });
}

uint32_t InFlightRequests::Add(uint64_t connection_id, std::string_view client_request_id) {
  do {
    ++last_id_;
  } while (requests_.count(last_id_) != 0);
  InFlightRequest& request = requests_[last_id_];
  request.connection_id = connection_id;
  request.client_request_id = client_request_id;
  client_request_ids_.insert(request.client_request_id);
  unanswered_by_connection_[connection_id] = last_id_;
  return last_id_;
}

InFlightRequest* InFlightRequests::Find(uint32_t id) {
  auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

std::optional<uint32_t> InFlightRequests::FindUnanswered(uint64_t connection_id) const {
  auto it = unanswered_by_connection_.find(connection_id);
  if (it == unanswered_by_connection_.end()) return std::nullopt;
  return it->second;
}

bool InFlightRequests::IsClientRequestIdInUse(std::string_view client_request_id) {
  std::string id(client_request_id);
  return client_request_ids_.count(id) != 0 || abandoned_ids_.Contains(id, Clock::now());
}

void InFlightRequests::MarkAnswered(uint32_t id) {
  InFlightRequest& request = requests_.at(id);
  request.answered = true;
  unanswered_by_connection_.erase(request.connection_id);
}

void InFlightRequests::MarkClientLeft(uint32_t id) {
  requests_.at(id).client_left = true;
  MarkAnswered(id);
}

void InFlightRequests::ResetPolicyTimerGrace(uint32_t id) {
  InFlightRequest* request = Find(id);
  if (request == nullptr) return;
  for (InFlightAttempt& attempt : request->attempts) attempt.policy_timer_grace.Reset();
}

void InFlightRequests::EraseIfComplete(uint32_t id) {
  auto it = requests_.find(id);
  if (it == requests_.end() || id == outcome_request_id_) return;
  InFlightRequest& request = it->second;
  if (!request.answered || request.HasAttemptInFlight()) return;
  client_request_ids_.erase(request.client_request_id);
  if (request.client_left && request.may_have_run) {
    abandoned_ids_.Remember(std::move(request.client_request_id), Clock::now());
  }
  requests_.erase(it);
}

}  // namespace gateway::net
