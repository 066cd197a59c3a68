// Simulates a fleet of gateways: real decision modules with simulated clients, backends, counter and
// discovery, in simulated time.
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

// Simulates one run. The same options give the same run except for processor time. Not thread-safe, but
// several simulations may run on separate threads.
class FleetSimulation {
 public:
  explicit FleetSimulation(const FleetOptions& options);
  FleetSimulation(const FleetSimulation&) = delete;
  FleetSimulation& operator=(const FleetSimulation&) = delete;

  // Runs the quiet phase and the measured time, and continues until the last request has ended. Must be
  // called only once.
  FleetMetrics Run();

 private:
  // Set-up. The order of draws from random_ determines the run: restarts are drawn after the tenants and
  // before the first request.
  void StartGateways();
  void ScheduleRestarts();
  void ScheduleCounterOutage();

  double MeasuredFromS() const;
  double EndS() const;
  SimulatedGateway& GatewayAt(int index) { return gateways_[static_cast<size_t>(index)]; }

  // Discovery: restarts a backend and notifies each gateway after a lag.
  void RestartBackend(int backend);
  void NotifyRestart(SimulatedGateway& gateway, int backend, double restarted_at_s);

  // Clients: first requests form a Poisson process, and rejected or failed requests may be retried.
  void ScheduleNextRequest();
  void SendFirstRequest();
  // Passes the request to one of its tenant's gateways.
  void SendRequest(const ClientRequest& client);
  void ScheduleRetry(const ClientRequest& client, double retry_after_s);

  // Passes an event to a gateway's policy by calling `event(policy, now_s, actions)`, and performs the
  // actions that the policy returns.
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
  // Cancelling has no effect, because a simulated backend serves an attempt to its end.
  void Perform(SimulatedGateway&, const policy::CancelAttempt&) {}
  void Perform(SimulatedGateway&, const policy::LogEvent&) {}
  // Polls are not needed, because endpoint updates are pushed.
  void Perform(SimulatedGateway&, const policy::PollDiscovery&) {}

  // Charges the request to its tenant's quota when its first attempt is made.
  void ChargeQuota(InFlightRequest* request);
  // Answers the client with a rejection or a failure, after which the client may retry.
  void AnswerWithError(SimulatedGateway& gateway, uint32_t request_id, InFlightRequest* request,
                       double retry_after_s);
  void EndAttempt(SimulatedGateway& gateway, uint32_t request_id, int attempt, int backend,
                  policy::CallResult result, double sent_at_s);

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

// Simulates one run. Thread-safe.
FleetMetrics SimulateFleet(const FleetOptions& options);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_SIMULATION_H_
