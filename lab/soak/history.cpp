#include "lab/soak/history.h"

#include <utility>

namespace gateway::lab::soak {

size_t History::AddResend(size_t index, int gateway) {
  std::lock_guard lock(mutex_);
  RequestRecord resent = data_.requests[index];
  resent.gateway = gateway;
  resent.is_resend = true;
  resent.outcome = RequestOutcome::kPending;
  data_.requests.push_back(resent);
  return data_.requests.size() - 1;
}

void History::MarkSent(size_t index) {
  std::lock_guard lock(mutex_);
  data_.requests[index].sent_s = Now();
}

RequestOutcome History::OutcomeOf(size_t index) {
  std::lock_guard lock(mutex_);
  return data_.requests[index].outcome;
}

void History::EndRequest(size_t index, RequestOutcome outcome, int status) {
  std::lock_guard lock(mutex_);
  RequestRecord& request = data_.requests[index];
  request.outcome = outcome;
  request.status = status;
  request.ended_s = Now();
}

void History::EndAttempt(size_t index, AttemptOutcome outcome) {
  std::lock_guard lock(mutex_);
  data_.attempts[index].outcome = outcome;
  data_.attempts[index].ended_s = Now();
}

void History::EndNotice(size_t index) {
  std::lock_guard lock(mutex_);
  data_.notices[index].until_s = Now();
}

HistoryData History::Take() {
  std::lock_guard lock(mutex_);
  return std::exchange(data_, {});
}

}  // namespace gateway::lab::soak
