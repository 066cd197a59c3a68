// Simulates one gateway of a fleet: a real decision module and the state that a gateway process keeps for it.
#ifndef GATEWAY_LAB_SIMULATED_GATEWAY_H_
#define GATEWAY_LAB_SIMULATED_GATEWAY_H_

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "lab/backend_model.h"
#include "lab/client_model.h"
#include "policy/admission_policy.h"

namespace gateway::lab {

struct SimulatedAttempt {
  int backend = 0;
  bool in_flight = false;
};

// A request from its arrival until it is answered and all its attempts have ended.
struct InFlightRequest {
  ClientRequest client;
  double arrived_at_s = 0;
  bool forwarded = false;     // at least one attempt was made
  bool answered = false;      // the client has received the final response
  bool within_quota = false;  // whether its tenant's quota covered it when it was forwarded
  std::vector<SimulatedAttempt> attempts;

  bool IsFinished() const;
};

// Tracks the idle connections of one gateway to all backends.
class SimulatedConnectionPool {
 public:
  // Takes the most recently used idle connection for an attempt, or a new one if none is idle. Closes
  // connections that were idle for longer than `idle_timeout_s` first. Returns whether a connection was
  // reused.
  bool Acquire(int backend, SimulatedBackend* state, double now_s, double idle_timeout_s);
  // Makes the connection idle after its attempt has ended.
  void Release(int backend, double now_s) { idle_since_s_[backend].push_back(now_s); }
  // Removes the idle connections of a backend that restarted.
  void RemoveIdle(int backend) { idle_since_s_.erase(backend); }

 private:
  std::unordered_map<int, std::vector<double>> idle_since_s_;  // by backend, the most recently used last
};

// The state of one simulated gateway.
struct SimulatedGateway {
  std::unique_ptr<policy::AdmissionPolicy> policy;
  std::unordered_map<uint32_t, InFlightRequest> requests;  // by request id
  uint32_t last_request_id = 0;
  SimulatedConnectionPool connections;
  // Time of the last restart of each backend that the gateway was notified of.
  std::unordered_map<int, double> known_restart_at_s;

  // Returns whether the gateway was notified of the backend's restart at `restarted_at_s`.
  bool KnowsRestart(int backend, double restarted_at_s) const;
  // Returns null if the request is not in flight or its client has received the final response. The pointer
  // is valid until the request is erased.
  InFlightRequest* FindUnanswered(uint32_t request_id);
  // Erases the request if it is answered and all its attempts have ended.
  void EraseIfFinished(uint32_t request_id);
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SIMULATED_GATEWAY_H_
