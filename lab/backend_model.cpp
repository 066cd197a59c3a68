#include "lab/backend_model.h"

#include <algorithm>

namespace gateway::lab {
namespace {

constexpr int kBackendsPerCell = 8;
constexpr double kMinSlowStartDurationS = 1e-9;  // avoids a division by zero if there is no slow start

}  // namespace

SimulatedBackend::SimulatedBackend(const BackendOptions& options, double restarted_at_s)
    : options_(options),
      restarted_at_s_(restarted_at_s),
      core_free_at_s_(static_cast<size_t>(options.cores), 0) {}

double SimulatedBackend::CapacityFraction(double now_s) const {
  if (!restarted()) return 1;
  double duration_s = std::max(kMinSlowStartDurationS, options_.slow_start_duration_s);
  double progress = std::clamp((now_s - restarted_at_s_) / duration_s, 0.0, 1.0);
  return options_.slow_start_initial_fraction + (1 - options_.slow_start_initial_fraction) * progress;
}

std::optional<double> SimulatedBackend::Serve(double now_s, double work_s) {
  double& core_free_at_s = *std::min_element(core_free_at_s_.begin(), core_free_at_s_.end());
  double start_s = std::max(now_s, core_free_at_s);
  if (start_s - now_s > options_.max_queueing_s) return std::nullopt;
  served_work_s_ += work_s;
  core_free_at_s = start_s + work_s / CapacityFraction(start_s);
  return core_free_at_s;
}

void SimulatedBackend::OnConnectionOpened() {
  ++connections_;
  max_connections_ = std::max(max_connections_, connections_);
}

BackendModel::BackendModel(int count, int zones, const BackendOptions& options)
    : zones_(zones), options_(options) {
  for (int i = 0; i < count; ++i) backends_.emplace_back(options_, 0);
}

void BackendModel::Restart(int index, double now_s) { at(index) = SimulatedBackend(options_, now_s); }

policy::Endpoint BackendModel::DescribeEndpoint(int index, double restarted_at_s) const {
  policy::Endpoint endpoint;
  endpoint.id = IdOf(index);
  endpoint.zone = index % zones_;
  endpoint.cell = index / kBackendsPerCell;
  endpoint.weight = 1;
  endpoint.started_at_s = restarted_at_s;
  return endpoint;
}

std::vector<policy::Endpoint> BackendModel::InitialEndpoints() const {
  std::vector<policy::Endpoint> endpoints;
  for (size_t i = 0; i < size(); ++i) endpoints.push_back(DescribeEndpoint(static_cast<int>(i), 0));
  return endpoints;
}

}  // namespace gateway::lab
