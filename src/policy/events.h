// Events that one gateway observes. They are the inputs of the decision module.
#ifndef GATEWAY_POLICY_EVENTS_H_
#define GATEWAY_POLICY_EVENTS_H_

#include <cstdint>

namespace gateway::policy {

enum class EndpointState { kRemoved, kReady, kDraining };

// A backend, as described by the endpoint list.
struct Endpoint {
  uint32_t id = 0;  // identical at every gateway
  EndpointState state = EndpointState::kReady;
  int kind = 0;
  int zone = 0;
  int cell = 0;  // backends of one cell share their record of idempotency keys
  double weight = 0;
  double started_at_s = 0;  // clock time of its last start; 0 means long ago
};

enum class EndpointUpdateKind {
  kDelta,   // The update holds only the endpoints that changed.
  kFull,    // The update is the whole list. Endpoints missing from it are removed.
  kCached,  // The update is the last known list from before this process started.
  kFailed,  // Discovery returned no list.
};

struct Request {
  uint32_t id = 0;
  int request_class = 0;  // index into Settings::classes
  int plan = 0;           // index into Settings::plans
  uint64_t tenant = 0;
  double time_left_s = 0;  // until its client stops waiting
  double cost_units = 0;
  double ingress_gateways = 1;  // number of gateways that receive this tenant's requests
};

// Result of an attempt at a backend or of a call to the counter.
enum class CallResult {
  kOk,
  kError,          // The backend responded with an error and may have run the request.
  kRejected,       // The request was rejected before it was run, so it had no effect.
  kTimeout,        // No response arrived in time. The request may have had its effect.
  kConnectFailed,  // The request was not sent completely, so it had no effect.
  kReset,          // The connection broke. The request may have had its effect.
  kCancelled,      // This gateway cancelled it. The request may have had its effect.
  kNeverSent,      // This gateway gave up before sending, so it had no effect.
};

// Whether a backend may have run the request of an attempt with this result.
inline bool MayHaveRun(CallResult result) {
  return result != CallResult::kRejected && result != CallResult::kConnectFailed &&
         result != CallResult::kNeverSent;
}

struct AttemptOutcome {
  uint32_t request_id = 0;
  int attempt = 0;  // 0 for the first attempt of the request
  double duration_s = 0;
  CallResult result = CallResult::kOk;
  bool request_finished = false;  // the client has received its final response
  uint32_t backend_id = 0;
  double actual_cost_units = 0;  // as measured by the backend; 0 means not reported
};

struct CounterReply {
  uint64_t key = 0;
  double total = 0;  // over all gateways, including this call
  CallResult result = CallResult::kOk;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_EVENTS_H_
