// The smallest embedding: one gateway, one plan, one request from arrival to answer.
#include <cstdio>

#include "policy/admission_policy.h"

int main() {
  gateway::policy::Settings site;
  site.gateway_count = 1;
  site.timer_resolution_s = 0.002;
  site.discovery_is_pushed = true;
  site.max_request_units = 4;
  site.max_attempts = 3;
  site.slow_start_initial_fraction = 0.2;
  site.slow_start_duration_s = 15;
  site.overload_multiple = 2;
  gateway::policy::ClassSettings read;
  read.latency_objective_s = 0.5;
  read.deadline_s = 1.5;
  read.priority_weight = 1;
  site.classes.push_back(read);
  gateway::policy::PlanSettings plan;
  plan.rate_units_per_s = 2;
  plan.burst_units = 6;
  plan.over_quota_penalty = 1;
  site.plans.push_back(plan);

  gateway::policy::Actions actions;
  double now = 1000;  // your own clock, in seconds, the same at every gateway
  gateway::policy::AdmissionPolicy gateway_policy(site, 42, now, &actions);
  gateway::policy::Endpoint backend;
  backend.id = 7;
  gateway_policy.OnEndpointUpdate(now, gateway::policy::EndpointUpdateKind::kFull, {backend}, &actions);

  gateway::policy::Request request;
  request.id = 1;
  request.tenant = 99;
  request.time_left_s = 1.2;
  request.cost_units = 1;
  gateway_policy.OnRequest(now, request, &actions);
  for (const gateway::policy::Action& action : actions) {
    const auto* forward = std::get_if<gateway::policy::ForwardAttempt>(&action);
    if (forward == nullptr) continue;
    std::printf("forward request %u to backend %u\n", forward->request_id, forward->backend_id);
    gateway::policy::AttemptOutcome outcome;
    outcome.request_id = forward->request_id;
    outcome.backend_id = forward->backend_id;
    outcome.request_finished = true;
    actions.clear();
    gateway_policy.OnAttemptOutcome(now + 0.05, outcome, &actions);
    return 0;
  }
  std::printf("rejected\n");
  return 1;
}
