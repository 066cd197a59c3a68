// The backends as discovery lists them, each with what this gateway has learnt of it.
#ifndef GATEWAY_POLICY_ENDPOINT_SET_H_
#define GATEWAY_POLICY_ENDPOINT_SET_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "policy/concurrency_limiter.h"
#include "policy/events.h"
#include "policy/outlier_detector.h"
#include "policy/slow_start.h"

namespace gateway::policy {

struct Backend {
  bool IsReady() const { return endpoint.state == EndpointState::kReady; }
  // Whether it has answered nothing since then.
  bool IsSilentSince(double since_s) const { return last_response_s <= since_s; }

  Endpoint endpoint;
  int attempts_in_flight = 0;
  double relative_latency = 1;  // mean latency of its answers over that of all backends
  double last_response_s = 0;   // clock of its last answer, or of when it was first listed
  OutlierDetector outlier;
  ConcurrencyLimiter limiter;
  WarmUp warm_up;
};

// Owns the backends. Pointers stay valid until the next ApplyUpdate.
//
// Invariant: a backend that is removed from the list stays, as kRemoved, until its last attempt has
// ended.
class EndpointSet {
 public:
  // Attempts in flight at the ready backends, and what their limits allow.
  struct Load {
    double in_flight = 0;
    double limit = 0;
  };

  // A complete list removes what it does not name; a delta changes only what it names. A start that is newer
  // than the one known puts the backend into slow start.
  void ApplyUpdate(EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints, double now_s,
                   SlowStart* slow_start);

  Backend* Find(uint32_t id) {
    auto it = std::find_if(backends_.begin(), backends_.end(),
                           [id](const Backend& backend) { return backend.endpoint.id == id; });
    return it == backends_.end() ? nullptr : &*it;
  }

  std::vector<Backend>& backends() { return backends_; }
  // Backends that are ready and warmed up.
  int WarmCount() const {
    auto is_warm = [](const Backend& backend) { return backend.IsReady() && !backend.warm_up.IsActive(); };
    return static_cast<int>(std::count_if(backends_.begin(), backends_.end(), is_warm));
  }

  // Runs for every request: defined here, where it is inlined, since the sums then stay in registers.
  Load ReadyLoad() const {
    Load load;
    for (const Backend& backend : backends_) {
      if (!backend.IsReady()) continue;
      double limit = backend.limiter.limit();
      load.in_flight += std::min<double>(backend.attempts_in_flight, std::max(1.0, limit));
      load.limit += limit;
    }
    return load;
  }

 private:
  void ApplyEndpoint(const Endpoint& endpoint, double now_s, SlowStart* slow_start);

  std::vector<Backend> backends_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_SET_H_
