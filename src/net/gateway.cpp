#include "net/gateway.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <string>
#include <utility>
#include <variant>

#include "net/backend_request.h"
#include "net/connection_limits.h"
#include "net/http_field_names.h"
#include "net/process_times.h"

namespace gateway::net {

using policy::Actions;
using policy::AdmissionPolicy;
using policy::CallResult;
using policy::EndpointUpdateKind;

namespace {

// Part of the client's time-out that is reserved, so that the last byte of the response arrives in time. The
// smaller of the two applies.
constexpr double kAnswerMarginS = 0.01;
constexpr double kAnswerMarginFraction = 0.1;

// How long to wait for a reply of the counter, as a multiple of the counter time-out in the settings. The
// counter answers its calls in order, however late. A late total is still needed: the counter may have added
// the amount of a call that timed out, and without the reply the policy would attribute that amount to other
// gateways.
constexpr double kCounterTimeoutMultiple = 3;

EndpointList ParseCachedList(const config::GatewayConfig& config, EndpointIds* ids) {
  if (config.cached_endpoint_list.is_null()) return {};
  try {
    return ParseEndpointList(config.cached_endpoint_list, config.deployment, ids);
  } catch (const DiscoveryError& error) {
    throw config::ConfigError("known", std::string("setting is unreadable: known: ") + error.what());
  }
}

double LongestDeadlineS(const config::GatewayConfig& config) {
  double longest_s = 0;
  for (const auto& class_settings : config.settings.classes) {
    longest_s = std::max(longest_s, class_settings.deadline_s);
  }
  return longest_s;
}

// The system time, in seconds, at the zero of the monotonic clock.
double ClockOffsetS() {
  std::chrono::duration<double> system = std::chrono::system_clock::now().time_since_epoch();
  return system.count() - ToSeconds(Clock::now().time_since_epoch());
}

policy::Settings PolicySettings(const config::GatewayConfig& config) {
  policy::Settings settings = config.settings;
  settings.max_tenants = MaxTenants(config);
  return settings;
}

Response StatusResponse(http::status status) {
  Response response;
  response.status = static_cast<int>(status);
  return response;
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const config::GatewayConfig& config, Log* log)
    : io_(io),
      config_(config),
      log_(*log),
      clock_offset_s_(ClockOffsetS()),
      pool_(io, config.deployment.connection_idle_s, config.deployment.connect_timeout_s,
            config.deployment.drain_grace_s, MaxBackendConnections(config)),
      membership_(pool_),
      server_(
          io, MaxClientConnections(config),
          [this](uint64_t connection, ClientRequest message, Clock::duration held_back) {
            OnClientMessage(connection, std::move(message), held_back);
          },
          [this](uint64_t connection, bool unanswered) { OnConnectionClosed(connection, unanswered); },
          [&config](const ClientRequest& message) { return MaxEndCheckTime(message, config); }),
      discovery_(
          io, config.discovery_address, config.deployment, &endpoint_ids_,
          [this](const EndpointList& list) {
            OnEndpointList(list, list.full ? EndpointUpdateKind::kFull : EndpointUpdateKind::kDelta);
            MarkReady();
          },
          [this] { OnDiscoveryFailed(); }, log),
      timers_(io, this),
      event_loop_monitor_(&timers_, log),
      shutdown_(io, server_, requests_, LongestDeadlineS(config)),
      rejection_log_(io, log),
      response_fault_log_(io, log) {
  if (config.counter_address) {
    counter_.emplace(io, *config.counter_address, kCounterTimeoutMultiple * config.settings.counter_timeout_s,
                     config.deployment.connect_timeout_s, [this](const policy::CounterReply& reply) {
                       NotifyPolicy([&](AdmissionPolicy& policy, double now_s, Actions* actions) {
                         policy.OnCounterReply(now_s, reply, actions);
                       });
                     });
    counter_->Start();
  }
  EndpointList cached = ParseCachedList(config, &endpoint_ids_);
  policy_.emplace(PolicySettings(config), config.seed, PolicyTimeS(Clock::now()), &actions_);
  cached.notified_at = Clock::now();
  OnEndpointList(cached, EndpointUpdateKind::kCached);
  server_.Listen(config.listen_address);
  discovery_.Start();
}

Gateway::~Gateway() {
  rejection_log_.Flush();
  response_fault_log_.Flush();
}

std::vector<std::string> Gateway::Reload(const config::GatewayConfig& new_config) {
  config::CheckSameGateway(config_, new_config);
  EndpointIds unused;
  ParseCachedList(new_config, &unused);  // only to validate the list
  discovery_.SwitchTo(new_config.discovery_address);
  if (counter_ && new_config.counter_address) counter_->SwitchTo(*new_config.counter_address);
  return config::KeysThatNeedARestart(config_, new_config);
}

void Gateway::Shutdown() { shutdown_.Start(); }

// The policy's time is monotonic. It agrees between gateways as closely as the system clocks of their
// machines agreed when the gateways started.
double Gateway::PolicyTimeS(Clock::time_point at) const {
  return clock_offset_s_ + ToSeconds(at.time_since_epoch());
}

// Calls the policy with one event and executes the actions after the policy has returned. No action calls the
// policy: its consequences arrive as separate events. This prevents re-entry, which would execute the actions
// of an inner call before those of the outer call. The only exception is at the start, when PollDiscovery may
// report a failure immediately; no action follows it.
template <typename Event>
void Gateway::NotifyPolicy(Event event) {
  Clock::time_point now = Clock::now();
  CheckForStall(now);
  event(*policy_, PolicyTimeS(now), &actions_);
  executing_actions_.swap(actions_);
  for (const policy::Action& action : executing_actions_) {
    std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
  }
  executing_actions_.clear();
  if (!requests_.empty()) event_loop_monitor_.WakeUpSoon(now);
}

// Reports a stall to the policy before the events that were read late because of the stall.
void Gateway::CheckForStall(Clock::time_point now) {
  Clock::duration stall = event_loop_monitor_.TakeStall(now);
  if (stall > Clock::duration::zero()) policy_->OnStall(ToSeconds(stall));
}

void Gateway::Execute(const policy::ForwardAttempt& action) {
  InFlightRequest* request = requests_.Find(action.request_id);
  if (request == nullptr) return;
  uint32_t id = action.request_id;
  int attempt = static_cast<int>(request->attempts.size());
  double left_s = ToSeconds(request->deadline - Clock::now());
  double timeout_s = action.timeout_s == 0 ? left_s : std::min(action.timeout_s, left_s);
  bool may_forward = MayForward(*request, id, timeout_s);
  // The attempt is in flight until its outcome is reported, even if it is not sent.
  request->attempts.push_back({action.backend_id, 0, true});
  if (!may_forward) return PostAttemptEnd(id, attempt, CallResult::kNeverSent);
  request->attempts.back().pool_attempt_id = pool_.Send(
      action.backend_id,
      [this, id](double time_left_s) { return BuildBackendRequest(requests_.At(id), time_left_s); },
      timeout_s, [this, id, attempt](AttemptResult end) { OnAttemptEnded(id, attempt, std::move(end)); },
      [this, connection = request->connection_id] { return !server_.HasClientLeft(connection); });
}

// Checks the client's socket before each attempt, because the event of its disconnection may still be queued.
// The check is skipped while the arrival of the request is being handled, since OnClientMessage has just made
// it.
bool Gateway::MayForward(const InFlightRequest& request, uint32_t request_id, double timeout_s) {
  if (request.answered || timeout_s <= 0) return false;
  if (request.HasAttemptInFlight() && !config_.settings.hedging_enabled) return false;
  if (static_cast<int>(request.attempts.size()) >= config_.settings.max_attempts) return false;
  return request_id == arriving_request_id_ || !server_.HasClientLeft(request.connection_id);
}

void Gateway::Execute(const policy::CancelAttempt& action) {
  InFlightRequest* request = requests_.Find(action.request_id);
  if (request == nullptr) return;
  auto index = static_cast<size_t>(action.attempt);
  if (index >= request->attempts.size() || !request->attempts[index].in_flight) return;
  CancelResult cancelled = pool_.Cancel(request->attempts[index].pool_attempt_id);
  if (cancelled == CancelResult::kAlreadyEnded) return;
  CallResult result =
      cancelled == CancelResult::kMayHaveRun ? CallResult::kCancelled : CallResult::kNeverSent;
  PostAttemptEnd(action.request_id, action.attempt, result);
}

void Gateway::Execute(const policy::RejectRequest& action) {
  CountEndedRequest(RejectionLog::CauseFor(action.reason), action.request_id);
  bool retry_after = action.retry_after_s > 0;
  Response response =
      StatusResponse(retry_after ? http::status::too_many_requests : http::status::service_unavailable);
  response.retry_after_s = action.retry_after_s;
  Answer(action.request_id, std::move(response));
}

void Gateway::Execute(const policy::FailRequest& action) {
  CountEndedRequest(RejectionLog::Cause::kFailed, action.request_id);
  Answer(action.request_id, StatusResponse(http::status::bad_gateway));
}

void Gateway::Execute(const policy::StartTimer& action) {
  timers_.AddPolicyTimer(Clock::now() + Seconds(std::max(0.0, action.delay_s)), action.tag);
}

void Gateway::Execute(const policy::CallCounter& action) {
  if (counter_) return counter_->Call(action.key, action.amount, action.expiry_s);
  asio::post(io_, [this, key = action.key] {
    NotifyPolicy([&](AdmissionPolicy& policy, double now_s, Actions* actions) {
      policy.OnCounterReply(now_s, {key, 0, CallResult::kConnectFailed}, actions);
    });
  });
}

void Gateway::Execute(const policy::LogEvent& action) { log_.Write(action.text); }

void Gateway::Execute(const policy::PollDiscovery& /*action*/) { discovery_.Start(); }

void Gateway::OnClientMessage(uint64_t connection, ClientRequest message, Clock::duration held_back) {
  std::string_view target = ToStringView(message.target());
  if (target.substr(0, std::string_view(kAdminPathPrefix).size()) == kAdminPathPrefix) {
    return AnswerAdminRequest(connection, target);
  }
  // In a busy event loop the client may have disconnected long ago. Its request is not answered: the session
  // closes as soon as it reads the end of the connection.
  if (server_.HasClientLeft(connection)) {
    std::string_view id = ToStringView(message[kRequestIdField]);
    return rejection_log_.Count(RejectionLog::Cause::kClientLeft, id, Clock::now());
  }

  RequestParseResult result = ParseClientRequest(message, config_);
  if (const auto* status = std::get_if<http::status>(&result)) return ReplyStatus(connection, *status);
  auto& parsed = std::get<ParsedRequest>(result);
  parsed.timeout_s = std::max(0.0, parsed.timeout_s - ToSeconds(held_back));
  if (requests_.IsClientRequestIdInUse(parsed.client_request_id)) {
    return ReplyStatus(connection, http::status::bad_request);
  }
  if (server_.MustMakeRoom(connection)) {
    rejection_log_.Count(RejectionLog::Cause::kConnectionLimit, parsed.client_request_id, Clock::now());
    return ReplyStatus(connection, http::status::service_unavailable);
  }
  if (shutdown_.state() == GracefulShutdown::State::kDraining) {
    parsed.timeout_s = std::min(parsed.timeout_s, shutdown_.AnswerTimeLeftS());
    if (parsed.timeout_s <= 0) {
      rejection_log_.Count(RejectionLog::Cause::kShutdown, parsed.client_request_id, Clock::now());
      return ReplyStatus(connection, http::status::service_unavailable);
    }
  }
  StartRequest(connection, &message, parsed);
}

void Gateway::AnswerAdminRequest(uint64_t connection, std::string_view target) {
  if (target != kReadinessPath) return ReplyStatus(connection, http::status::not_found);
  bool ready = ready_ && !shutdown_.started();
  ReplyStatus(connection, ready ? http::status::ok : http::status::service_unavailable);
}

void Gateway::ReplyStatus(uint64_t connection, http::status status) {
  server_.Reply(connection, StatusResponse(status));
}

// Counts a request that ends without a backend's response. A request that has already been answered is not
// counted.
void Gateway::CountEndedRequest(RejectionLog::Cause cause, uint32_t request_id) {
  const InFlightRequest* request = requests_.Find(request_id);
  if (request == nullptr || request->answered) return;
  rejection_log_.Count(cause, request->client_request_id, Clock::now());
}

void Gateway::StartRequest(uint64_t connection, ClientRequest* message, const ParsedRequest& parsed) {
  double margin_s = std::min(kAnswerMarginS, kAnswerMarginFraction * parsed.timeout_s);
  uint32_t id = requests_.Add(connection, parsed.client_request_id);
  InFlightRequest& request = requests_.At(id);
  request.deadline = Clock::now() + Seconds(parsed.timeout_s - margin_s / 2);
  request.idempotent = parsed.idempotent;
  request.head = BuildBackendRequestHead(*message);
  request.body = std::move(message->body());
  timers_.AddRequestDeadline(request.deadline, id);

  policy::Request event = parsed.request;
  event.id = id;
  event.time_left_s = parsed.timeout_s - margin_s;
  arriving_request_id_ = id;
  NotifyPolicy([&](AdmissionPolicy& policy, double now_s, Actions* actions) {
    policy.OnRequest(now_s, event, actions);
  });
  arriving_request_id_ = kNoRequest;
}

// Sends the only final response to the request. Attempts that are still in flight keep the request in the
// table until their outcomes are reported.
void Gateway::Answer(uint32_t request_id, Response response) {
  InFlightRequest* request = requests_.Find(request_id);
  if (request == nullptr || request->answered) return;
  requests_.MarkAnswered(request_id);
  server_.Reply(request->connection_id, std::move(response));
  DropUnsentAttempts(request_id);
  requests_.EraseIfComplete(request_id);
}

void Gateway::OnConnectionClosed(uint64_t connection, bool had_unanswered_request) {
  if (shutdown_.started()) asio::post(io_, [this] { shutdown_.StopIfDone(); });
  if (!had_unanswered_request) return;
  std::optional<uint32_t> id = requests_.FindUnanswered(connection);
  if (!id) return;
  CountEndedRequest(RejectionLog::Cause::kClientLeft, *id);
  requests_.MarkClientLeft(*id);
  DropUnsentAttempts(*id);
  NotifyPolicy([&](AdmissionPolicy& policy, double now_s, Actions* actions) {
    policy.OnClientGone(now_s, *id, actions);
  });
  requests_.EraseIfComplete(*id);
}

// Ends an attempt whose end the pool does not report. Posted, so that the policy receives the outcome as a
// separate event.
void Gateway::PostAttemptEnd(uint32_t request_id, int attempt, CallResult result) {
  asio::post(io_, [this, request_id, attempt, result] {
    AttemptResult end;
    end.result = result;
    OnAttemptEnded(request_id, attempt, std::move(end));
  });
}

// Drops the attempts that no backend has received completely, whether or not the settings allow cancellation,
// because no client is waiting for them any more. The policy decides about the other attempts.
void Gateway::DropUnsentAttempts(uint32_t request_id) {
  const InFlightRequest& request = requests_.At(request_id);
  for (size_t i = 0; i < request.attempts.size(); ++i) {
    const InFlightAttempt& attempt = request.attempts[i];
    if (attempt.in_flight && pool_.CancelIfUnsent(attempt.pool_attempt_id)) {
      PostAttemptEnd(request_id, static_cast<int>(i), CallResult::kNeverSent);
    }
  }
}

// Whether a timer of the request, which is due, has to wait for a response that has arrived and has not been
// read yet. After a stall of the process both are due at once, and a response that arrived in time must be
// used. A response that never ends puts the timer off for a limited time.
bool Gateway::MustReadResponseFirst(uint32_t request_id, UnreadBytesGrace InFlightAttempt::*grace) {
  InFlightRequest* request = requests_.Find(request_id);
  if (request == nullptr || request->answered) return false;
  return std::any_of(request->attempts.begin(), request->attempts.end(), [&](InFlightAttempt& attempt) {
    return attempt.in_flight && pool_.MustReadFirst(attempt.pool_attempt_id, &(attempt.*grace));
  });
}

void Gateway::OnAttemptEnded(uint32_t request_id, int attempt, AttemptResult end) {
  InFlightRequest* request = requests_.Find(request_id);
  if (request == nullptr) return;
  InFlightAttempt& ended = request->attempts[static_cast<size_t>(attempt)];
  ended.in_flight = false;
  if (end.fault != ResponseFault::kNone) {
    response_fault_log_.Count(end.fault, ended.backend_id, Clock::now());
  }
  requests_.BeginOutcomeHandling(request_id);
  // If the attempt was not sent because the client disconnected, the policy must learn of the disconnection
  // before the outcome, or it would retry.
  if (end.result == CallResult::kNeverSent && !request->answered &&
      server_.HasClientLeft(request->connection_id)) {
    server_.Close(request->connection_id);
  }
  if (policy::MayHaveRun(end.result)) request->may_have_run = true;
  // The first successful response is sent before the outcome is reported to the policy, to save the client
  // that delay.
  if (end.result == CallResult::kOk && !request->answered) {
    Response response = StatusResponse(http::status::ok);
    response.headers = std::move(end.headers);
    response.body = std::move(end.body);
    Answer(request_id, std::move(response));
  }
  ReportOutcome(request_id, attempt, end);
  shutdown_.StopIfDone();
}

void Gateway::ReportOutcome(uint32_t request_id, int attempt, const AttemptResult& end) {
  const InFlightRequest& request = requests_.At(request_id);
  policy::AttemptOutcome outcome;
  outcome.request_id = request_id;
  outcome.attempt = attempt;
  outcome.duration_s = end.duration_s;
  outcome.result = end.result;
  outcome.request_finished = request.answered;
  outcome.backend_id = request.attempts[static_cast<size_t>(attempt)].backend_id;
  outcome.actual_cost_units = end.actual_cost_units;
  NotifyPolicy([&](AdmissionPolicy& policy, double now_s, Actions* actions) {
    policy.OnAttemptOutcome(now_s, outcome, actions);
  });
  requests_.EndOutcomeHandling();
  requests_.EraseIfComplete(request_id);
}

void Gateway::OnEndpointList(const EndpointList& list, EndpointUpdateKind kind) {
  membership_.Apply(list, kind);
  std::vector<policy::Endpoint> endpoints;
  for (const ListedEndpoint& listed : list.endpoints) endpoints.push_back(listed.endpoint);
  NotifyPolicy([&](AdmissionPolicy& policy, double now_s, Actions* actions) {
    policy.OnEndpointUpdate(now_s, kind, endpoints, actions);
  });
}

// A failed poll makes the gateway ready with the cached endpoint list, since discovery may be down when
// gateways start.
void Gateway::OnDiscoveryFailed() {
  NotifyPolicy([](AdmissionPolicy& policy, double now_s, Actions* actions) {
    policy.OnEndpointUpdate(now_s, EndpointUpdateKind::kFailed, {}, actions);
  });
  MarkReady();
}

// The event is logged once. Together with gateway_listening it shows how far an unsuccessful start got.
void Gateway::MarkReady() {
  if (!std::exchange(ready_, true)) log_.Write("gateway_ready " + FormatProcessTimes());
}

// Guards against a policy that never decides about a request, which would leave the client without a
// response. Status 503 tells the client that a retry is safe, so it is sent only if the request is idempotent
// or no attempt can have had an effect; otherwise the status is 504.
void Gateway::OnRequestDeadline(uint32_t request_id) {
  if (!IsAwaitingDeadline(request_id)) return;
  if (MustReadResponseFirst(request_id, &InFlightAttempt::deadline_grace)) {
    return timers_.AddRequestDeadline(Clock::now(), request_id);
  }
  const InFlightRequest* request = requests_.Find(request_id);
  CountEndedRequest(RejectionLog::Cause::kDeadline, request_id);
  bool retry_is_safe = request->idempotent || (!request->may_have_run && !request->HasAttemptInFlight());
  Answer(request_id,
         StatusResponse(retry_is_safe ? http::status::service_unavailable : http::status::gateway_timeout));
  NotifyPolicy([&](AdmissionPolicy& policy, double now_s, Actions* actions) {
    policy.OnClientGone(now_s, request_id, actions);
  });
}

bool Gateway::IsAwaitingDeadline(uint32_t request_id) {
  const InFlightRequest* request = requests_.Find(request_id);
  return request != nullptr && !request->answered;
}

void Gateway::OnTimersHandled() {
  if (!requests_.empty()) event_loop_monitor_.WakeUpSoon(Clock::now());
  shutdown_.StopIfDone();
}

void Gateway::OnPolicyTimer(uint64_t tag) {
  bool is_request_timer = tag <= std::numeric_limits<uint32_t>::max();  // the tag is then a request id
  if (is_request_timer) {
    auto request_id = static_cast<uint32_t>(tag);
    if (MustReadResponseFirst(request_id, &InFlightAttempt::policy_timer_grace)) {
      return timers_.AddPolicyTimer(Clock::now(), tag);
    }
    requests_.ResetPolicyTimerGrace(request_id);
  }
  NotifyPolicy(
      [&](AdmissionPolicy& policy, double now_s, Actions* actions) { policy.OnTimer(now_s, tag, actions); });
}

}  // namespace gateway::net
