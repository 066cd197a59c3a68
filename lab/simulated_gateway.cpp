#include "lab/simulated_gateway.h"

#include <algorithm>

namespace gateway::lab {

bool InFlightRequest::IsFinished() const {
  return answered && std::none_of(attempts.begin(), attempts.end(),
                                  [](const SimulatedAttempt& attempt) { return attempt.in_flight; });
}

bool SimulatedConnectionPool::Acquire(int backend, SimulatedBackend* state, double now_s,
                                      double idle_timeout_s) {
  std::vector<double>& idle = idle_since_s_[backend];
  auto closed = std::erase_if(idle, [&](double since_s) { return now_s - since_s > idle_timeout_s; });
  for (; closed > 0; --closed) state->OnConnectionClosed();
  if (idle.empty()) {
    state->OnConnectionOpened();
    return false;
  }
  idle.pop_back();
  return true;
}

bool SimulatedGateway::KnowsRestart(int backend, double restarted_at_s) const {
  auto known = known_restart_at_s.find(backend);
  return known != known_restart_at_s.end() && known->second == restarted_at_s;
}

InFlightRequest* SimulatedGateway::FindUnanswered(uint32_t request_id) {
  auto request = requests.find(request_id);
  return request == requests.end() || request->second.answered ? nullptr : &request->second;
}

void SimulatedGateway::EraseIfFinished(uint32_t request_id) {
  auto request = requests.find(request_id);
  if (request != requests.end() && request->second.IsFinished()) requests.erase(request);
}

}  // namespace gateway::lab
