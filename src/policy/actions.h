// What the decision module asks its caller to do. Actions are carried out in order, after the call returned.
#ifndef GATEWAY_POLICY_ACTIONS_H_
#define GATEWAY_POLICY_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gateway::policy {

// Sends the request to a backend. Attempts of one request are numbered from 0 in this order.
struct ForwardAttempt {
  uint32_t request_id = 0;
  uint32_t backend_id = 0;
  double timeout_s = 0;  // 0: until the request's deadline
};

struct CancelAttempt {
  uint32_t request_id = 0;
  int attempt = 0;
};

// The rule by which a request is rejected.
enum class RejectReason {
  kInvalid,    // too little time left, or what the settings do not allow
  kOverQuota,  // quota_check
  kOverload,   // load_shedder
  kNoBackend,  // endpoint_selector: none may be used
  kGivenUp,    // retry_policy: no further attempt is allowed, or none would end in time
};

// Final answer: the request had no effect, or repeating it has none, so that it may be sent again.
struct RejectRequest {
  uint32_t request_id = 0;
  double retry_after_s = 0;  // 0: no Retry-After
  RejectReason reason = RejectReason::kInvalid;
};

// Final answer: the request may have had an effect.
struct FailRequest {
  uint32_t request_id = 0;
};

// Calls OnTimer with `tag` after the delay. A tag of at most 32 bits is the id of the request that the timer
// is of.
struct StartTimer {
  double delay_s = 0;
  uint64_t tag = 0;
};

// Adds to a key of the counter, and reads its total.
struct CallCounter {
  uint64_t key = 0;
  double amount = 0;
  double expiry_s = 0;  // until the counter may forget the key
};

struct LogEvent {
  std::string text;  // event name, then key=value
};

// Asks discovery for the endpoint list, on the simulator's wire. On sockets the first one starts the
// discovery client, which then polls by itself; later ones change nothing.
struct PollDiscovery {};

using Action = std::variant<ForwardAttempt, CancelAttempt, RejectRequest, FailRequest, StartTimer,
                            CallCounter, LogEvent, PollDiscovery>;
using Actions = std::vector<Action>;

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ACTIONS_H_
