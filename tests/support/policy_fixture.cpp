#include "support/policy_fixture.h"

#include <utility>

namespace gateway::test_support {

using policy::Actions;
using policy::AttemptOutcome;
using policy::CallCounter;
using policy::CallResult;
using policy::ClassSettings;
using policy::CounterReply;
using policy::DeduplicationScope;
using policy::Endpoint;
using policy::EndpointUpdateKind;
using policy::ForwardAttempt;
using policy::Idempotency;
using policy::PlanSettings;
using policy::Request;
using policy::Settings;

namespace {

ClassSettings MakeClass(Idempotency idempotency) {
  ClassSettings request_class;
  request_class.latency_objective_s = 0.6;
  request_class.deadline_s = 1.5;
  request_class.deduplication_window_s = 1.2;
  request_class.priority_weight = 1;
  request_class.idempotency = idempotency;
  request_class.deduplication_scope =
      idempotency == Idempotency::kIdempotencyKey ? DeduplicationScope::kCell : DeduplicationScope::kAll;
  return request_class;
}

}  // namespace

Settings MakeSettings() {
  Settings settings;
  settings.gateway_count = 3;
  settings.timer_resolution_s = 0.002;
  settings.discovery_is_pushed = true;
  settings.max_request_units = 4;
  settings.counter_enabled = true;
  settings.counter_timeout_s = 0.3;
  settings.cancellation_enabled = true;
  settings.retry_after_enabled = true;
  settings.max_retry_after_s = 2;
  settings.max_attempts = 5;
  settings.slow_start_initial_fraction = 0.2;
  settings.slow_start_duration_s = 16;
  settings.overload_multiple = 2;
  settings.discovery_poll_interval_s = 10;
  settings.classes = {MakeClass(Idempotency::kIdempotent), MakeClass(Idempotency::kIdempotencyKey),
                      MakeClass(Idempotency::kNonIdempotent)};
  PlanSettings plan;
  plan.rate_units_per_s = 2;
  plan.burst_units = 10;
  plan.over_quota_penalty = 1;
  settings.plans = {plan};
  return settings;
}

Settings MakeLargeFleetSettings() {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  settings.counter_timeout_s = 0.03;
  return settings;
}

std::vector<Endpoint> MakeEndpoints(int count) {
  std::vector<Endpoint> endpoints;
  for (uint32_t i = 0; i < static_cast<uint32_t>(count); ++i) {
    endpoints.push_back(
        {.id = kFirstBackendId + i, .cell = static_cast<int>(i / kBackendsPerCell), .weight = 1});
  }
  return endpoints;
}

PolicyFixture::PolicyFixture(const Settings& settings, const PolicyFixtureOptions& options)
    : now_s_(options.started_at_s), policy_(settings, options.seed, options.started_at_s, &actions_) {
  UpdateEndpoints(options.endpoint_update, options.endpoints);
  actions_.clear();
}

uint32_t PolicyFixture::SendRequest(const RequestOptions& request) {
  Request sent_request;
  sent_request.id = ++last_request_id_;
  sent_request.request_class = request.request_class;
  sent_request.tenant = request.tenant;
  sent_request.time_left_s = request.time_left_s;
  sent_request.cost_units = request.cost_units;
  sent_request.ingress_gateways = request.ingress_gateways;
  Deliver([&](Actions* actions) { policy_.OnRequest(now_s_, sent_request, actions); });
  return sent_request.id;
}

void PolicyFixture::Stall(double duration_s) {
  Advance(duration_s);
  policy_.OnStall(duration_s);
}

void PolicyFixture::CompleteAttempt(uint32_t request_id, CallResult result, double actual_cost_units) {
  const std::vector<uint32_t>& backends = attempts_.at(request_id);
  AttemptOutcome outcome;
  outcome.request_id = request_id;
  outcome.attempt = static_cast<int>(backends.size()) - 1;
  outcome.result = result;
  outcome.request_finished = result == CallResult::kOk;
  outcome.backend_id = backends.back();
  outcome.actual_cost_units = actual_cost_units;
  ReportOutcome(outcome);
}

void PolicyFixture::ReportOutcome(const AttemptOutcome& outcome) {
  Deliver([&](Actions* actions) { policy_.OnAttemptOutcome(now_s_, outcome, actions); });
}

void PolicyFixture::StartResponse(uint32_t request_id) {
  Deliver([&](Actions* actions) { policy_.OnResponseStarted(now_s_, request_id, actions); });
}

void PolicyFixture::DisconnectClient(uint32_t request_id) {
  Deliver([&](Actions* actions) { policy_.OnClientGone(now_s_, request_id, actions); });
}

void PolicyFixture::FireTimer(uint64_t tag) {
  Deliver([&](Actions* actions) { policy_.OnTimer(now_s_, tag, actions); });
}

void PolicyFixture::ReplyFromCounter(uint64_t key, double total) {
  const CounterReply reply{key, total, CallResult::kOk};
  Deliver([&](Actions* actions) { policy_.OnCounterReply(now_s_, reply, actions); });
}

void PolicyFixture::FailCounterCall(uint64_t key, CallResult result) {
  const CounterReply reply{key, 0, result};
  Deliver([&](Actions* actions) { policy_.OnCounterReply(now_s_, reply, actions); });
}

void PolicyFixture::UpdateEndpoints(EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints) {
  Deliver([&](Actions* actions) { policy_.OnEndpointUpdate(now_s_, kind, endpoints, actions); });
}

std::optional<uint32_t> PolicyFixture::ForwardedTo() const {
  const auto* attempt = Find<ForwardAttempt>();
  if (attempt == nullptr) return std::nullopt;
  return attempt->backend_id;
}

bool PolicyFixture::ServeRequest(const RequestOptions& request, double actual_cost_units) {
  const uint32_t request_id = SendRequest(request);
  if (const auto* call = Find<CallCounter>()) counter_calls_.push_back(*call);
  if (!Forwarded()) return false;
  CompleteAttempt(request_id, CallResult::kOk, actual_cost_units);
  return true;
}

int PolicyFixture::ServeRequests(int count, const RequestOptions& request) {
  int forwarded = 0;
  for (int i = 0; i < count; ++i) forwarded += ServeRequest(request) ? 1 : 0;
  return forwarded;
}

int PolicyFixture::ServeOneAtATime(double latency_s, double duration_s) {
  constexpr uint64_t kFirstTenant = 100000;
  constexpr double kPauseS = 0.01;
  int forwarded = 0;
  const double end_at_s = now_s_ + duration_s;
  while (now_s_ < end_at_s) {
    const uint32_t request_id = SendRequest({.time_left_s = 1.4, .tenant = kFirstTenant + last_request_id_});
    if (!Forwarded()) {
      Advance(kPauseS);
      continue;
    }
    ++forwarded;
    Advance(latency_s);
    CompleteAttempt(request_id, CallResult::kOk);
  }
  return forwarded;
}

std::vector<CallCounter> PolicyFixture::TakeCounterCalls() { return std::exchange(counter_calls_, {}); }

void PolicyFixture::Deliver(const std::function<void(Actions*)>& event) {
  actions_.clear();
  event(&actions_);
  for (const policy::Action& action : actions_) {
    if (const auto* attempt = std::get_if<ForwardAttempt>(&action)) {
      attempts_[attempt->request_id].push_back(attempt->backend_id);
    }
  }
}

}  // namespace gateway::test_support
