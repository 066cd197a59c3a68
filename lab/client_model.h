// Models the clients of a simulated fleet: the requests that they send and when they retry.
#ifndef GATEWAY_LAB_CLIENT_MODEL_H_
#define GATEWAY_LAB_CLIENT_MODEL_H_

#include <optional>

#include "lab/fleet_options.h"
#include "lab/random.h"
#include "lab/tenant_model.h"

namespace gateway::lab {

// A request from the client's point of view. A retry is the same request with a higher `retries`.
struct ClientRequest {
  int tenant = 0;
  int request_class = 0;
  double cost_units = 1;
  double work_s = 0;           // service time on a core of full capacity
  double first_sent_at_s = 0;  // when the client sent it for the first time
  double timeout_s = 0;        // the client gives up this long after it first sent the request
  int retries = 0;
};

// Draws the requests of all clients and the delays of their retries.
class ClientModel {
 public:
  // `in_quota_requests_per_s` is the traffic of all tenants within their quotas. The work of a request is
  // scaled so that this traffic has the configured utilization (TrafficOptions::utilization).
  ClientModel(const FleetOptions& options, double in_quota_requests_per_s);

  // Returns the service time of a request of mean cost on a core of full capacity.
  double mean_work_s() const { return options_.mean_work_s * work_scale_; }

  // Draws a new request, which is sent at `now_s`.
  ClientRequest DrawRequest(const TenantModel& tenants, double now_s, Random* random) const;

  // Draws the delay after which the client retries a request that was rejected or failed at `now_s`. Returns
  // nothing if the client gives up. `retry_after_s` is the delay that the rejection asked for, or 0.
  std::optional<double> DrawRetryDelay(const ClientRequest& request, double retry_after_s, double now_s,
                                       Random* random) const;

 private:
  // Returns the mean work of a request class before scaling.
  double ClassWorkS(int request_class) const;

  const TrafficOptions options_;
  double work_scale_ = 1;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CLIENT_MODEL_H_
