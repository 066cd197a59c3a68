// The backends that discovery lists, each with the load balancing state that this gateway keeps for it.
#ifndef GATEWAY_POLICY_ENDPOINT_SET_H_
#define GATEWAY_POLICY_ENDPOINT_SET_H_

#include <algorithm>
#include <cstdint>
#include <vector>

#include "policy/concurrency_limiter.h"
#include "policy/events.h"
#include "policy/in_flight_request.h"
#include "policy/outlier_detector.h"
#include "policy/slow_start.h"

namespace gateway::policy {

// One backend. The load balancing state reflects only the attempts of this gateway, and only those sent to
// the present incarnation of the backend, which is its process since its last start.
struct Backend {
  bool IsReady() const { return endpoint.state == EndpointState::kReady; }
  // Returns whether the backend has sent no response after `since_s`.
  bool IsSilentSince(double since_s) const { return last_response_at_s <= since_s; }
  // Returns whether the attempt was sent to the present incarnation.
  bool IsServing(const Attempt& attempt) const { return attempt.incarnation == incarnation; }
  // Returns whether nothing shows that the process of the attempt is still running: it has restarted, or has
  // sent no response since.
  bool IsSilentTo(const Attempt& attempt) const {
    return !IsServing(attempt) || IsSilentSince(attempt.sent_at_s);
  }

  Endpoint endpoint;
  uint64_t incarnation = 0;  // never that of another backend or of an earlier process of this one
  int attempts_in_flight = 0;
  double relative_latency = 1;    // mean latency of its responses, relative to that of all backends
  double last_response_at_s = 0;  // time of its last response; before the first, time when it was listed
  OutlierDetector outlier;
  ConcurrencyLimiter limiter;
  WarmUp warm_up;
};

// A backend that has been removed from the endpoint list is kept in state kRemoved until its last attempt has
// ended. A backend that is listed with a later start is another process: all that was learnt of the one
// before is dropped.
//
// The set owns the backends. Pointers to them stay valid until the next call of ApplyUpdate.
class EndpointSet {
 public:
  // The attempts in flight at all ready backends and the sum of the concurrency limits of these backends.
  struct Load {
    double in_flight = 0;
    double limit = 0;
  };

  // Applies an endpoint list from discovery. A complete list removes the backends that it does not contain; a
  // delta changes only the backends that it contains. A backend with a new start time enters slow start,
  // unless that start is longer ago than the slow start duration.
  void ApplyUpdate(EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints, double now_s,
                   SlowStart* slow_start);

  Backend* Find(uint32_t id) {
    auto it = std::find_if(backends_.begin(), backends_.end(),
                           [id](const Backend& backend) { return backend.endpoint.id == id; });
    return it == backends_.end() ? nullptr : &*it;
  }

  std::vector<Backend>& backends() { return backends_; }
  // Returns the number of backends that are ready and warmed up.
  int WarmCount() const {
    auto is_warm = [](const Backend& backend) { return backend.IsReady() && !backend.warm_up.IsActive(); };
    return static_cast<int>(std::count_if(backends_.begin(), backends_.end(), is_warm));
  }

  // Returns the load of the ready backends. Attempts in flight that exceed the concurrency limit of their
  // backend are not counted. Runs for every request, so it is defined in the header: when it is inlined, the
  // sums stay in registers.
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
  Backend NewIncarnation(double now_s);

  std::vector<Backend> backends_;
  uint64_t last_incarnation_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_ENDPOINT_SET_H_
