// The backends of a simulated fleet: cores that serve one request each in turn, slower while warming up.
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
  double slow_start_initial_fraction = 0.17;  // of full capacity, right after a restart
  double slow_start_duration_s = 17;          // until full capacity, which rises evenly
  double max_queueing_s = 2;                  // a request that would wait longer is rejected
};

// One backend since its last start. Not thread-safe.
class SimulatedBackend {
 public:
  // `restarted_s`: the clock of a restart during the simulation; 0: warm from the beginning.
  SimulatedBackend(const BackendOptions& options, double restarted_s);

  // Its present capacity as a share of the full one.
  double CapacityFraction(double now_s) const;

  // A request that arrives at `now_s` and takes `work_s` on a core of full capacity. Returns when it is done,
  // or nothing where it is rejected.
  std::optional<double> Serve(double now_s, double work_s);

  void OnConnectionOpened();
  void OnConnectionClosed() { --connections_; }

  bool restarted() const { return restarted_s_ > 0; }
  double restarted_s() const { return restarted_s_; }
  int cores() const { return options_.cores; }
  int connections() const { return connections_; }
  int max_connections() const { return max_connections_; }
  double served_work_s() const { return served_work_s_; }

 private:
  BackendOptions options_;
  double restarted_s_;
  std::vector<double> core_free_s_;  // when each core has served all requests so far
  int connections_ = 0;
  int max_connections_ = 0;
  double served_work_s_ = 0;
};

// All backends of a fleet, by index from 0.
class BackendModel {
 public:
  BackendModel(int count, int zones, const BackendOptions& options);

  size_t size() const { return backends_.size(); }
  SimulatedBackend& at(int index) { return backends_[static_cast<size_t>(index)]; }
  const std::vector<SimulatedBackend>& backends() const { return backends_; }

  // Replaces the backend by one of the same name that begins to warm up. Its connections are gone.
  void Restart(int index, double now_s);

  // The backend as discovery lists it. `restarted_s`: clock of the restart that discovery knows of; 0: none.
  policy::Endpoint DescribeEndpoint(int index, double restarted_s) const;
  // The endpoint list before any restart.
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
