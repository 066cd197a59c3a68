#include "lab/fleet_simulation.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <utility>

#include "lab/fleet_settings.h"

namespace gateway::lab {
namespace {

using policy::CallResult;

constexpr double kClockStartS = 1000;
constexpr double kQuietLoadShare = 0.1;
constexpr uint64_t kSeedFactor = 7919;  // separates the seeds of the policies of different runs
// As in the gateway process, a counter call is abandoned later than the timeout of the settings, because a
// late reply is still useful.
constexpr double kCounterAbandonAfterS = 3 * kCounterTimeoutS;

}  // namespace

FleetSimulation::FleetSimulation(const FleetOptions& options)
    : options_(options),
      random_(options.seed),
      queue_(kClockStartS),
      tenants_(options, MakeGatewaySettings(options).plans, kClockStartS, &random_),
      clients_(options, tenants_.in_quota_requests_per_s()),
      backends_(options.backends, options.zones, options.backend),
      counter_(options.counter),
      gateways_(static_cast<size_t>(options.gateways)),
      slow_start_monitor_(options.overload, options.backend.slow_start_duration_s, clients_.mean_work_s()),
      recorder_(MeasuredFromS()) {
  StartGateways();
  ScheduleRestarts();
}

FleetMetrics FleetSimulation::Run() {
  ScheduleNextRequest();
  ScheduleCounterOutage();
  queue_.RunUntil(EndS());
  queue_.RunUntil(EndS() + kDeadlineS);
  for (int i = 0; i < options_.backends; ++i) slow_start_monitor_.Evaluate(i, backends_.at(i));
  return recorder_.Finish(backends_.backends(), slow_start_monitor_.worst_window());
}

double FleetSimulation::MeasuredFromS() const { return kClockStartS + options_.traffic.quiet_s; }

double FleetSimulation::EndS() const { return MeasuredFromS() + options_.traffic.measured_s; }

void FleetSimulation::StartGateways() {
  policy::Settings settings = MakeGatewaySettings(options_);
  settings.plans = tenants_.plans();
  const std::vector<policy::Endpoint> endpoints = backends_.InitialEndpoints();
  for (int i = 0; i < options_.gateways; ++i) {
    SimulatedGateway& gateway = GatewayAt(i);
    settings.zone = i % options_.zones;
    policy::Actions no_actions;  // a policy returns no actions at its start if endpoint updates are pushed
    uint64_t seed = policy::MixBits(options_.seed * kSeedFactor + static_cast<uint64_t>(i));
    gateway.policy = std::make_unique<policy::AdmissionPolicy>(settings, seed, kClockStartS, &no_actions);
    Deliver(gateway, [&](auto& policy, double now_s, auto* actions) {
      policy.OnEndpointUpdate(now_s, policy::EndpointUpdateKind::kFull, endpoints, actions);
    });
    recorder_.OnEndpointsSent(endpoints.size());
  }
}

void FleetSimulation::ScheduleRestarts() {
  const RestartOptions& restarts = options_.restarts;
  int restarted = static_cast<int>(std::lround(restarts.backend_share * options_.backends));
  for (int backend = 0; backend < restarted; ++backend) {
    for (int i = 0; i < restarts.per_backend; ++i) {
      double time_s = MeasuredFromS() + restarts.first_at_s +
                      restarts.period_s * (random_.Uniform() + i) / restarts.per_backend;
      queue_.Schedule(time_s, [this, backend] { RestartBackend(backend); });
    }
  }
}

void FleetSimulation::ScheduleCounterOutage() {
  const CounterOutageOptions& outage = options_.counter_outage;
  if (outage.starts_at_s < 0) return;
  double start_s = MeasuredFromS() + outage.starts_at_s;
  queue_.Schedule(start_s, [this] { counter_.set_silent(true); });
  queue_.Schedule(start_s + outage.duration_s, [this] { counter_.set_silent(false); });
}

void FleetSimulation::RestartBackend(int backend) {
  double now_s = queue_.now_s();
  slow_start_monitor_.Evaluate(backend, backends_.at(backend));
  backends_.Restart(backend, now_s);
  const DiscoveryOptions& discovery = options_.discovery;
  for (SimulatedGateway& gateway : gateways_) {
    gateway.connections.RemoveIdle(backend);
    bool late = random_.Uniform() < discovery.late_gateway_share;
    double notified_at_s =
        now_s + discovery.max_lag_s * random_.Uniform() + (late ? discovery.late_additional_lag_s : 0);
    queue_.Schedule(notified_at_s,
                    [this, &gateway, backend, now_s] { NotifyRestart(gateway, backend, now_s); });
  }
}

void FleetSimulation::NotifyRestart(SimulatedGateway& gateway, int backend, double restarted_at_s) {
  gateway.known_restart_at_s[backend] = restarted_at_s;
  recorder_.OnEndpointsSent(1);
  Deliver(gateway, [&](auto& policy, double now_s, auto* actions) {
    policy.OnEndpointUpdate(now_s, policy::EndpointUpdateKind::kDelta,
                            {backends_.DescribeEndpoint(backend, restarted_at_s)}, actions);
  });
}

void FleetSimulation::ScheduleNextRequest() {
  double load_share = recorder_.IsMeasured(queue_.now_s()) ? 1 : kQuietLoadShare;
  double time_s = queue_.now_s() + random_.Exponential(1 / (options_.traffic.requests_per_s * load_share));
  if (time_s >= EndS()) return;
  queue_.Schedule(time_s, [this] {
    SendFirstRequest();
    ScheduleNextRequest();
  });
}

void FleetSimulation::SendFirstRequest() {
  double now_s = queue_.now_s();
  ClientRequest client = clients_.DrawRequest(tenants_, now_s, &random_);
  bool admitted_by_ideal_gateway = tenants_.TakeFromIdealQuota(client.tenant, client.cost_units, now_s);
  recorder_.OnFirstRequest(now_s, client.cost_units * tenants_.UnitPrice(client.tenant),
                           admitted_by_ideal_gateway);
  SendRequest(client);
}

void FleetSimulation::SendRequest(const ClientRequest& client) {
  double now_s = queue_.now_s();
  SimulatedGateway& gateway = GatewayAt(tenants_.DrawIngressGateway(client.tenant, now_s, &random_));
  recorder_.OnRequest(now_s);

  policy::Request request;
  request.id = ++gateway.last_request_id;
  request.request_class = client.request_class;
  request.plan = tenants_.plan(client.tenant);
  request.tenant = static_cast<uint64_t>(client.tenant) + 1;
  request.time_left_s = client.timeout_s - (now_s - client.first_sent_at_s);
  request.cost_units = client.cost_units;
  request.ingress_gateways = tenants_.ingress_gateways(client.tenant);

  InFlightRequest in_flight;
  in_flight.client = client;
  in_flight.arrived_at_s = now_s;
  gateway.requests[request.id] = std::move(in_flight);
  Deliver(gateway,
          [&](auto& policy, double at_s, auto* actions) { policy.OnRequest(at_s, request, actions); });
  auto entry = gateway.requests.find(request.id);
  if (entry != gateway.requests.end() && !entry->second.answered && !entry->second.forwarded) {
    recorder_.OnRequestDelayed(now_s);
  }
}

void FleetSimulation::ScheduleRetry(const ClientRequest& client, double retry_after_s) {
  double now_s = queue_.now_s();
  std::optional<double> delay_s = clients_.DrawRetryDelay(client, retry_after_s, now_s, &random_);
  if (!delay_s) return;
  ClientRequest retry = client;
  ++retry.retries;
  queue_.Schedule(now_s + *delay_s, [this, retry] { SendRequest(retry); });
}

void FleetSimulation::Perform(SimulatedGateway& gateway, const policy::ForwardAttempt& action) {
  auto found = gateway.requests.find(action.request_id);
  if (found == gateway.requests.end()) return;
  InFlightRequest& request = found->second;
  double now_s = queue_.now_s();
  int backend = BackendModel::IndexOf(action.backend_id);
  int attempt = static_cast<int>(request.attempts.size());
  SimulatedBackend& state = backends_.at(backend);
  if (!request.forwarded) ChargeQuota(&request);
  request.attempts.push_back({backend, true});

  const NetworkOptions& network = options_.network;
  bool reused = gateway.connections.Acquire(backend, &state, now_s, network.connection_idle_timeout_s);
  recorder_.OnAttempt(now_s, reused);
  double one_way_s = network.backend_one_way_s;
  if (!reused) one_way_s += network.connect_s;
  double arrival_s = now_s + one_way_s;
  if (state.restarted()) {
    bool notified = gateway.KnowsRestart(backend, state.restarted_at_s());
    slow_start_monitor_.OnAttempt(backend, arrival_s, request.client.work_s, notified);
  }

  std::optional<double> served_at_s = state.Serve(arrival_s, request.client.work_s);
  CallResult result = served_at_s ? CallResult::kOk : CallResult::kRejected;
  double end_s = served_at_s ? *served_at_s + network.backend_one_way_s : now_s + 2 * one_way_s;
  double timeout_s = std::max(action.timeout_s, options_.timer_resolution_s);
  if (end_s > now_s + timeout_s) {
    end_s = now_s + timeout_s;
    result = CallResult::kTimeout;
  }
  queue_.Schedule(end_s, [this, &gateway, id = action.request_id, attempt, backend, result, now_s] {
    EndAttempt(gateway, id, attempt, backend, result, now_s);
  });
}

void FleetSimulation::ChargeQuota(InFlightRequest* request) {
  double now_s = queue_.now_s();
  const ClientRequest& client = request->client;
  request->forwarded = true;
  request->within_quota = tenants_.TakeFromQuota(client.tenant, client.cost_units, now_s);
  double penalty_value =
      client.cost_units * tenants_.UnitPrice(client.tenant) * tenants_.OverQuotaPenalty(client.tenant);
  recorder_.OnForwarded(now_s, request->arrived_at_s, client.cost_units, request->within_quota,
                        penalty_value);
}

void FleetSimulation::EndAttempt(SimulatedGateway& gateway, uint32_t request_id, int attempt, int backend,
                                 CallResult result, double sent_at_s) {
  double now_s = queue_.now_s();
  gateway.connections.Release(backend, now_s);
  auto found = gateway.requests.find(request_id);
  if (found == gateway.requests.end()) return;
  InFlightRequest& request = found->second;
  request.attempts[static_cast<size_t>(attempt)].in_flight = false;
  if (result == CallResult::kOk && !request.answered) {
    request.answered = true;
    const ClientRequest& client = request.client;
    recorder_.OnServed(now_s, client.first_sent_at_s, request.within_quota,
                       client.cost_units * tenants_.UnitPrice(client.tenant));
  }
  policy::AttemptOutcome outcome;
  outcome.request_id = request_id;
  outcome.attempt = attempt;
  outcome.duration_s = now_s - sent_at_s;
  outcome.result = result;
  outcome.request_finished = request.answered;
  outcome.backend_id = BackendModel::IdOf(backend);
  Deliver(gateway,
          [&](auto& policy, double at_s, auto* actions) { policy.OnAttemptOutcome(at_s, outcome, actions); });
  gateway.EraseIfFinished(request_id);
}

void FleetSimulation::Perform(SimulatedGateway& gateway, const policy::RejectRequest& action) {
  InFlightRequest* request = gateway.FindUnanswered(action.request_id);
  if (request == nullptr) return;
  double now_s = queue_.now_s();
  if (recorder_.IsMeasured(now_s)) {
    bool with_quota = !request->forwarded && tenants_.HasHalfBurstLeft(request->client.tenant, now_s);
    recorder_.OnRejected(now_s, with_quota);
  }
  AnswerWithError(gateway, action.request_id, request, action.retry_after_s);
}

void FleetSimulation::Perform(SimulatedGateway& gateway, const policy::FailRequest& action) {
  InFlightRequest* request = gateway.FindUnanswered(action.request_id);
  if (request == nullptr) return;
  recorder_.OnFailed(queue_.now_s());
  AnswerWithError(gateway, action.request_id, request, 0);
}

void FleetSimulation::AnswerWithError(SimulatedGateway& gateway, uint32_t request_id,
                                      InFlightRequest* request, double retry_after_s) {
  request->answered = true;
  ScheduleRetry(request->client, retry_after_s);
  gateway.EraseIfFinished(request_id);
}

void FleetSimulation::Perform(SimulatedGateway& gateway, const policy::StartTimer& action) {
  double delay_s = std::max(action.delay_s, options_.timer_resolution_s);
  queue_.Schedule(queue_.now_s() + delay_s, [this, &gateway, tag = action.tag] {
    Deliver(gateway, [&](auto& policy, double now_s, auto* actions) { policy.OnTimer(now_s, tag, actions); });
  });
}

void FleetSimulation::Perform(SimulatedGateway& gateway, const policy::CallCounter& action) {
  double now_s = queue_.now_s();
  double one_way_s = options_.network.counter_one_way_s;
  CounterModel::Reply reply = counter_.Call(now_s + one_way_s, action.key, action.amount, action.expiry_s);
  bool rejected = reply.status == CounterModel::ReplyStatus::kRejected;
  CallResult result = rejected ? CallResult::kRejected : CallResult::kOk;
  double end_s = reply.sent_at_s + one_way_s;
  if (reply.status == CounterModel::ReplyStatus::kNone || end_s - now_s >= kCounterAbandonAfterS) {
    end_s = now_s + kCounterAbandonAfterS;
    result = CallResult::kTimeout;
  }
  recorder_.OnCounterCall(now_s, end_s - now_s, rejected);
  policy::CounterReply event = {action.key, reply.total, result};
  queue_.Schedule(end_s, [this, &gateway, event] {
    Deliver(gateway,
            [&](auto& policy, double at_s, auto* actions) { policy.OnCounterReply(at_s, event, actions); });
  });
}

FleetMetrics SimulateFleet(const FleetOptions& options) { return FleetSimulation(options).Run(); }

}  // namespace gateway::lab
