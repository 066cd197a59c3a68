// Models the backends of a simulated fleet. Each core of a backend serves one request at a time, and serves
// it more slowly while the backend warms up.
#ifndef GATEWAY_LAB_BACKEND_MODEL_H_
#define GATEWAY_LAB_BACKEND_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "policy/events.h"

namespace gateway::lab {

struct BackendOptions {
  int cores = 3;
  double slow_start_initial_fraction = 0.17;  // fraction of full capacity right after a restart
  double slow_start_duration_s = 17;          // time in which the capacity rises linearly to full capacity
  double max_queueing_s = 2;                  // a request that would have to queue longer is rejected
};

// Models one backend since its last start. A request is served by the core that becomes free first. Not
// thread-safe.
class SimulatedBackend {
 public:
  // `restarted_at_s` is the simulated time of the restart, or 0 if the backend has full capacity from the
  // beginning.
  SimulatedBackend(const BackendOptions& options, double restarted_at_s);

  // Returns the current capacity as a fraction of full capacity.
  double CapacityFraction(double now_s) const;

  // Serves a request that arrives at `now_s` and takes `work_s` on a core of full capacity. Returns the time
  // at which it is done, or nothing if it is rejected.
  std::optional<double> Serve(double now_s, double work_s);

  void OnConnectionOpened();
  void OnConnectionClosed() { --connections_; }

  bool restarted() const { return restarted_at_s_ > 0; }
  double restarted_at_s() const { return restarted_at_s_; }
  int cores() const { return options_.cores; }
  int connections() const { return connections_; }
  int max_connections() const { return max_connections_; }
  double served_work_s() const { return served_work_s_; }

 private:
  BackendOptions options_;
  double restarted_at_s_;
  std::vector<double> core_free_at_s_;  // when each core will have served all its requests
  int connections_ = 0;
  int max_connections_ = 0;
  double served_work_s_ = 0;
};

// Holds all backends of a fleet, indexed from 0.
class BackendModel {
 public:
  BackendModel(int count, int zones, const BackendOptions& options);

  size_t size() const { return backends_.size(); }
  SimulatedBackend& at(int index) { return backends_[static_cast<size_t>(index)]; }
  const std::vector<SimulatedBackend>& backends() const { return backends_; }

  // Replaces the backend with one of the same name that begins to warm up and has no connections.
  void Restart(int index, double now_s);

  // Returns the backend as discovery lists it. `restarted_at_s` is the time of the last restart that
  // discovery knows of, or 0 if there was none.
  policy::Endpoint DescribeEndpoint(int index, double restarted_at_s) const;
  // Returns the endpoint list before any restart.
  std::vector<policy::Endpoint> InitialEndpoints() const;

  static uint32_t IdOf(int index) { return static_cast<uint32_t>(index) + 1; }
  static int IndexOf(uint32_t backend_id) { return static_cast<int>(backend_id) - 1; }

 private:
  const int zones_;
  const BackendOptions options_;
  std::vector<SimulatedBackend> backends_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_BACKEND_MODEL_H_
