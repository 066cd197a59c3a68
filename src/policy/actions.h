// Actions that the decision module asks its caller to perform. The caller performs them in order, after the
// call that produced them has returned.
#ifndef GATEWAY_POLICY_ACTIONS_H_
#define GATEWAY_POLICY_ACTIONS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gateway::policy {

// Sends the request to a backend. The attempts of a request are numbered from 0, in the order of these
// actions.
struct ForwardAttempt {
  uint32_t request_id = 0;
  uint32_t backend_id = 0;
  double timeout_s = 0;  // 0 means until the request's deadline
};

struct CancelAttempt {
  uint32_t request_id = 0;
  int attempt = 0;
};

// The check or rule that rejected a request.
enum class RejectReason {
  kInvalid,    // request_validation failed, or the plan is not that of the tenant
  kOverQuota,  // quota_check found the request over quota
  kOverload,   // load_shedder shed the request
  kNoBackend,  // endpoint_selector found no usable backend
  kGivenUp,    // retry_policy allows no further attempt, or none would end in time
};

// Final response to a request that the client may safely send again: it had no effect, or repeating it has
// none.
struct RejectRequest {
  uint32_t request_id = 0;
  double retry_after_s = 0;  // 0 means no Retry-After
  RejectReason reason = RejectReason::kInvalid;
};

// Final response to a request that failed and may have had an effect.
struct FailRequest {
  uint32_t request_id = 0;
};

// Calls OnTimer with `tag` after the delay. A tag of at most 32 bits is the id of the request that the timer
// belongs to.
struct StartTimer {
  double delay_s = 0;
  uint64_t tag = 0;
};

// Adds `amount` to a key of the counter and reads the new total.
struct CallCounter {
  uint64_t key = 0;
  double amount = 0;
  double expiry_s = 0;  // time after which the counter may drop the key
};

struct LogEvent {
  std::string text;  // event name, followed by key=value pairs
};

// Requests the endpoint list from discovery. With the simulator each action sends one poll. With sockets the
// first one starts the discovery client, which then polls on its own, and later ones have no effect.
struct PollDiscovery {};

using Action = std::variant<ForwardAttempt, CancelAttempt, RejectRequest, FailRequest, StartTimer,
                            CallCounter, LogEvent, PollDiscovery>;
using Actions = std::vector<Action>;

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ACTIONS_H_
