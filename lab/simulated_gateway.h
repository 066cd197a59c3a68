// One gateway of a simulated fleet: a real decision module and what a gateway process keeps around it.
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
  double arrived_s = 0;
  bool forwarded = false;     // an attempt was made
  bool answered = false;      // the client has its final answer
  bool within_quota = false;  // of its tenant, when it was forwarded
  std::vector<SimulatedAttempt> attempts;

  bool Finished() const;
};

// The connections of one gateway to all backends.
class SimulatedConnectionPool {
 public:
  // Takes a connection for an attempt: the idle one that was used last, or a new one. Closes those that were
  // idle for longer than `idle_timeout_s`. Returns whether the connection was reused.
  bool Acquire(int backend, SimulatedBackend* state, double now_s, double idle_timeout_s);
  // The attempt has ended.
  void Release(int backend, double now_s) { idle_since_s_[backend].push_back(now_s); }
  // The backend restarted: its idle connections are gone.
  void Drop(int backend) { idle_since_s_.erase(backend); }

 private:
  std::unordered_map<int, std::vector<double>> idle_since_s_;  // by backend, the last used at the end
};

struct SimulatedGateway {
  std::unique_ptr<policy::AdmissionPolicy> policy;
  std::unordered_map<uint32_t, InFlightRequest> requests;  // by request id
  uint32_t last_request_id = 0;
  SimulatedConnectionPool connections;
  std::unordered_map<int, double> known_restart_s;  // by backend, the last restart it was notified of

  // Whether the gateway was notified of the backend's last restart.
  bool KnowsRestart(int backend, double restarted_s) const;
  // Null where the request is not in flight, or its client has the final answer. Valid until the request is
  // erased.
  InFlightRequest* FindUnanswered(uint32_t request_id);
  // Forgets the request once nothing of it is left to come.
  void EraseIfFinished(uint32_t request_id);
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_SIMULATED_GATEWAY_H_
