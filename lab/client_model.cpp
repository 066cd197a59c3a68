#include "lab/client_model.h"

#include <algorithm>
#include <cmath>

#include "lab/fleet_settings.h"

namespace gateway::lab {
namespace {

constexpr int kMaxRetries = 2;
constexpr double kMinRetryBackoffS = 0.05;
constexpr double kRetryJitterS = 0.3;
constexpr double kMinTimeForRetryS = 0.05;  // the client gives up if less time is left
constexpr double kMinDemand = 1e-9;         // avoids a division by zero if there is no load

double WorkScale(const FleetOptions& options, double in_quota_requests_per_s) {
  const TrafficOptions& traffic = options.traffic;
  if (traffic.utilization <= 0) return 1;
  double capacity = static_cast<double>(options.backends) * options.backend.cores;
  double requests_per_s = options.quotas.enabled ? in_quota_requests_per_s : traffic.requests_per_s;
  return traffic.utilization * capacity / std::max(kMinDemand, requests_per_s * traffic.mean_work_s);
}

}  // namespace

ClientModel::ClientModel(const FleetOptions& options, double in_quota_requests_per_s)
    : options_(options.traffic), work_scale_(WorkScale(options, in_quota_requests_per_s)) {}

double ClientModel::ClassWorkS(int request_class) const {
  if (options_.request_classes < 2) return options_.mean_work_s;
  // The classes range from 0.5 to 1.5 times the mean.
  return options_.mean_work_s * (0.5 + static_cast<double>(request_class) / (options_.request_classes - 1));
}

ClientRequest ClientModel::DrawRequest(const TenantModel& tenants, double now_s, Random* random) const {
  ClientRequest request;
  request.tenant = tenants.DrawTenant(random);
  request.request_class = random->Below(options_.request_classes);
  request.cost_units = 1 + std::floor(random->Uniform() * options_.max_cost_units);
  // Work is proportional to the cost, as in a deployment where the cost is the size of the request.
  request.work_s = ClassWorkS(request.request_class) * work_scale_ * request.cost_units /
                   MeanCostUnits(options_.max_cost_units) * random->Between(0.7, 1.3);
  request.first_sent_at_s = now_s;
  request.timeout_s = kDeadlineS * random->Between(0.5, 1);
  return request;
}

std::optional<double> ClientModel::DrawRetryDelay(const ClientRequest& request, double retry_after_s,
                                                  double now_s, Random* random) const {
  if (request.retries >= kMaxRetries) return std::nullopt;
  double delay_s = std::max(retry_after_s, kMinRetryBackoffS + kRetryJitterS * random->Uniform());
  if (now_s + delay_s - request.first_sent_at_s >= request.timeout_s - kMinTimeForRetryS) return std::nullopt;
  return delay_s;
}

}  // namespace gateway::lab
