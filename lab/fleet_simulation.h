// A whole fleet in simulated time: real decision modules between simulated clients, backends, counter and
// discovery.
#ifndef GATEWAY_LAB_FLEET_SIMULATION_H_
#define GATEWAY_LAB_FLEET_SIMULATION_H_

#include <cstdint>
#include <variant>
#include <vector>

#include "lab/backend_model.h"
#include "lab/client_model.h"
#include "lab/counter_model.h"
#include "lab/event_queue.h"
#include "lab/fleet_metrics.h"
#include "lab/fleet_options.h"
#include "lab/processor_clock.h"
#include "lab/random.h"
#include "lab/simulated_gateway.h"
#include "lab/slow_start_monitor.h"
#include "lab/tenant_model.h"
#include "policy/admission_policy.h"

namespace gateway::lab {

// One run. The same options give the same run, but for processor time. Not thread-safe; several may run on
// threads of their own.
class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetOptions& options);
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  // Runs through the quiet and the measured time, and until the last request has ended. Called once.
  FleetMetrics Run();

 private:
  // Set-up. The order of draws from random_ decides the run: restarts are drawn after the tenants and before
  // the first request.
  void StartGateways();
  void ScheduleRestarts();
  void ScheduleCounterOutage();

  double MeasuredFromS() const;
  double EndS() const;
  SimulatedGateway& GatewayAt(int index) { return gateways_[static_cast<size_t>(index)]; }

  // Discovery: a backend restarts, and each gateway is notified of it after a lag.
  void RestartBackend(int backend);
  void NotifyRestart(SimulatedGateway& gateway, int backend, double restarted_s);

  // Clients: first requests as a Poisson stream, and retries.
  void ScheduleNextRequest();
  void SendFirstRequest();
  // The request arrives at one of its tenant's gateways.
  void SendRequest(const ClientRequest& client);
  void ScheduleRetry(const ClientRequest& client, double retry_after_s);

  // Passes an event to a gateway's policy, as `event(policy, now_s, actions)`, and carries out what it
  // returns.
  template <typename Event>
  void Deliver(SimulatedGateway& gateway, Event event) {
    policy::Actions actions;
    double begin_s = ThreadProcessorSeconds();
    event(*gateway.policy, queue_.now_s(), &actions);
    recorder_.OnDecision(ThreadProcessorSeconds() - begin_s);
    for (const policy::Action& action : actions) {
      std::visit([&](const auto& typed) { Perform(gateway, typed); }, action);
    }
  }

  void Perform(SimulatedGateway& gateway, const policy::ForwardAttempt& action);
  void Perform(SimulatedGateway& gateway, const policy::RejectRequest& action);
  void Perform(SimulatedGateway& gateway, const policy::FailRequest& action);
  void Perform(SimulatedGateway& gateway, const policy::StartTimer& action);
  void Perform(SimulatedGateway& gateway, const policy::CallCounter& action);
  // A backend that has begun to serve an attempt goes on with it.
  void Perform(SimulatedGateway&, const policy::CancelAttempt&) {}
  void Perform(SimulatedGateway&, const policy::LogEvent&) {}
  // Endpoint updates are pushed.
  void Perform(SimulatedGateway&, const policy::PollDiscovery&) {}

  // The first attempt of a request: it is charged to its tenant's quota.
  void ChargeForwarded(InFlightRequest* request);
  // The client gets a rejection or a failure, and may retry.
  void AnswerUnserved(SimulatedGateway& gateway, uint32_t request_id, InFlightRequest* request,
                      double retry_after_s);
  void EndAttempt(SimulatedGateway& gateway, uint32_t request_id, int attempt, int backend,
                  policy::CallResult result, double sent_s);

  const FleetOptions options_;
  Random random_;
  EventQueue queue_;
  TenantModel tenants_;
  ClientModel clients_;
  BackendModel backends_;
  CounterModel counter_;
  std::vector<SimulatedGateway> gateways_;
  SlowStartMonitor slow_start_monitor_;
  FleetMetricsRecorder recorder_;
};

// Makes one run. Thread-safe.
FleetMetrics SimulateFleet(const FleetOptions& options);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_SIMULATION_H_
