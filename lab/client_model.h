// The clients of a simulated fleet: the requests that they send, and when they retry.
#ifndef GATEWAY_LAB_CLIENT_MODEL_H_
#define GATEWAY_LAB_CLIENT_MODEL_H_

#include <optional>

#include "lab/fleet_options.h"
#include "lab/random.h"
#include "lab/tenant_model.h"

namespace gateway::lab {

// A request as its client knows it. A retry is the same request with a higher `retries`.
struct ClientRequest {
  int tenant = 0;
  int request_class = 0;
  double cost_units = 1;
  double work_s = 0;        // on one core of full capacity
  double first_sent_s = 0;  // clock of its first sending
  double patience_s = 0;    // from then until the client gives up
  int retries = 0;
};

class ClientModel {
 public:
  // `in_quota_requests_per_s`: of all tenants, to which work is scaled (TrafficOptions::utilization).
  ClientModel(const FleetOptions& options, double in_quota_requests_per_s);

  // Mean work of a request of mean cost, on one core of full capacity.
  double mean_work_s() const { return options_.mean_work_s * work_scale_; }

  // A new request, which is sent at `now_s`.
  ClientRequest DrawRequest(const TenantModel& tenants, double now_s, Random* random) const;

  // After which delay a request that was rejected or failed at `now_s` is sent again; nothing where its
  // client gives up. `retry_after_s`: of the rejection; 0: none.
  std::optional<double> DrawRetryDelay(const ClientRequest& request, double retry_after_s, double now_s,
                                       Random* random) const;

 private:
  // Mean work of a class, before scaling.
  double ClassWorkS(int request_class) const;

  const TrafficOptions options_;
  double work_scale_ = 1;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CLIENT_MODEL_H_
