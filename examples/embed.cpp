// Minimal program that embeds the decision module. Configures one gateway with one request class and one
// plan, and takes one request from its arrival to its response. Prints the selected backend. Exits with
// status 1 if no backend is selected.
#include <cstdio>

#include "policy/admission_policy.h"

int main() {
  gateway::policy::Settings settings;
  settings.gateway_count = 1;
  settings.timer_resolution_s = 0.002;
  settings.discovery_is_pushed = true;
  settings.max_request_units = 4;
  settings.max_attempts = 3;
  settings.slow_start_initial_fraction = 0.2;
  settings.slow_start_duration_s = 15;
  settings.overload_multiple = 2;
  gateway::policy::ClassSettings request_class;
  request_class.latency_objective_s = 0.5;
  request_class.deadline_s = 1.5;
  request_class.priority_weight = 1;
  settings.classes.push_back(request_class);
  gateway::policy::PlanSettings plan;
  plan.rate_units_per_s = 2;
  plan.burst_units = 6;
  plan.over_quota_penalty = 1;
  settings.plans.push_back(plan);

  gateway::policy::Actions actions;
  double now_s = 1000;  // any clock that all gateways share, in seconds
  gateway::policy::AdmissionPolicy policy(settings, /*seed=*/42, now_s, &actions);
  gateway::policy::Endpoint endpoint;
  endpoint.id = 7;
  policy.OnEndpointUpdate(now_s, gateway::policy::EndpointUpdateKind::kFull, {endpoint}, &actions);

  gateway::policy::Request request;
  request.id = 1;
  request.tenant = 99;
  request.time_left_s = 1.2;
  request.cost_units = 1;
  policy.OnRequest(now_s, request, &actions);
  for (const gateway::policy::Action& action : actions) {
    const auto* forward = std::get_if<gateway::policy::ForwardAttempt>(&action);
    if (forward == nullptr) continue;
    std::printf("forward request %u to backend %u\n", forward->request_id, forward->backend_id);
    // The backend responds 50 ms later, and the response is sent to the client.
    gateway::policy::AttemptOutcome outcome;
    outcome.request_id = forward->request_id;
    outcome.backend_id = forward->backend_id;
    outcome.request_finished = true;
    actions.clear();
    policy.OnAttemptOutcome(now_s + 0.05, outcome, &actions);
    return 0;
  }
  std::printf("rejected\n");
  return 1;
}
