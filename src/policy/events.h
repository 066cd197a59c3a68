// What happens to one gateway: the inputs of the decision module.
#ifndef GATEWAY_POLICY_EVENTS_H_
#define GATEWAY_POLICY_EVENTS_H_

#include <cstdint>

namespace gateway::policy {

enum class EndpointState { kRemoved, kReady, kDraining };

// A backend as discovery lists it.
struct Endpoint {
  uint32_t id = 0;  // the same at every gateway
  EndpointState state = EndpointState::kReady;
  int kind = 0;
  int zone = 0;
  int cell = 0;  // the group of backends that shares memory of idempotency keys
  double weight = 0;
  double started_at_s = 0;  // clock of its last start; 0: long ago
};

enum class EndpointUpdateKind {
  kDelta,   // only the endpoints that changed
  kFull,    // the whole list: what it does not name is removed
  kCached,  // a whole list from before the start, as last known
  kFailed,  // discovery gave no list
};

struct Request {
  uint32_t id = 0;
  int request_class = 0;  // index into Settings::classes
  int plan = 0;           // index into Settings::plans
  uint64_t tenant = 0;
  double time_left_s = 0;  // until its client gives up
  double cost_units = 0;
  double ingress_gateways = 1;  // gateways through which this tenant may come
};

// How an attempt at a backend, or a call to the counter, ended.
enum class CallResult {
  kOk,
  kError,          // the backend answered with a failure, and may have run the request
  kRejected,       // turned away unseen: no effect
  kTimeout,        // no answer in time; may have had its effect
  kConnectFailed,  // never wholly sent: no effect
  kReset,          // the connection ended under it; may have had its effect
  kCancelled,      // cancelled by this gateway; may have had its effect
  kNeverSent,      // given up by this gateway before it was sent
};

// Whether a backend may have run the request of an attempt that ended so.
inline bool MayHaveRun(CallResult result) {
  return result != CallResult::kRejected && result != CallResult::kConnectFailed &&
         result != CallResult::kNeverSent;
}

struct AttemptOutcome {
  uint32_t request_id = 0;
  int attempt = 0;  // 0 for the first of its request
  double duration_s = 0;
  CallResult result = CallResult::kOk;
  bool request_finished = false;  // the client has its final answer
  uint32_t backend_id = 0;
  double actual_cost_units = 0;  // as the backend measured it; 0: not reported
};

struct CounterReply {
  uint64_t key = 0;
  double total = 0;  // after the call, over all gateways
  CallResult result = CallResult::kOk;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_EVENTS_H_
