#include "policy/admission_policy.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

#include "policy/counter_schedule.h"
#include "policy/demand_share.h"
#include "policy/endpoint_selector.h"
#include "policy/endpoint_set.h"
#include "policy/in_flight_request.h"
#include "policy/load_shedder.h"
#include "policy/outcome_feedback.h"
#include "policy/quota_check.h"
#include "policy/random_source.h"
#include "policy/request_validation.h"
#include "policy/retry_policy.h"
#include "policy/running_clock.h"
#include "policy/service_estimator.h"
#include "policy/slow_start.h"
#include "policy/tenant.h"

namespace gateway::policy {
namespace {

// Timer tag of a discovery poll. The tags of request timers are 32-bit request ids.
constexpr uint64_t kPollDiscoveryTag = 1ULL << 40;
// Longest delay between a failed poll of discovery and the next one.
constexpr double kMaxPollDelayS = 1;
// A request that waits for the counter is charged in advance, and so reported, if its probability of being
// within quota is at least this.
constexpr double kMinReserveProbability = 0.5;

}  // namespace

// Applies the rules of the other files to each request, in a fixed order. OnRequest checks the quota, sheds
// load and forwards the request, or lets it wait for the counter (OnCounterReply). OnAttemptOutcome and
// OnTimer retry, hedge or end it. The rules themselves are implemented in the other files.
class AdmissionPolicy::Impl {
 public:
  Impl(const Settings& settings, uint64_t seed, double now_s, Actions* actions)
      : settings_(settings),
        random_(seed),
        estimator_(settings_),
        tenants_(settings_, now_s),
        counter_(settings_),
        quota_check_(settings_, estimator_, counter_, &demand_share_, &random_),
        slow_start_(settings_, estimator_, &random_),
        load_shedder_(settings_, estimator_, &random_),
        retry_policy_(settings_, estimator_),
        selector_(settings_, retry_policy_, &endpoints_, &slow_start_, &random_),
        feedback_(settings_, running_clock_, &estimator_, &slow_start_, &load_shedder_, &demand_share_) {
    if (!settings_.discovery_is_pushed) actions->push_back(PollDiscovery{});
  }
  Impl(const Impl&) = delete;

  void OnEndpointUpdate(double now_s, EndpointUpdateKind kind, const std::vector<Endpoint>& endpoints,
                        Actions* actions) {
    if (kind != EndpointUpdateKind::kFailed) {
      endpoints_.ApplyUpdate(kind, endpoints, now_s, &slow_start_);
    } else if (!settings_.discovery_is_pushed) {
      double delay_s = std::min(kMaxPollDelayS, settings_.discovery_poll_interval_s);
      actions->push_back(StartTimer{delay_s, kPollDiscoveryTag});
    }
  }

  void OnRequest(double now_s, const Request& request, Actions* actions) {
    tenants_.RemoveIdle(now_s);
    if (in_flight_.count(request.id) != 0) return;
    if (!IsValidRequest(request, settings_)) return Reject(request.id, RejectReason::kInvalid, actions);
    Tenant& tenant = tenants_.RecordRequest(request, now_s);
    // A tenant has one plan. Its quotas were created from the plan of its first request.
    if (tenant.plan_index != request.plan) return Reject(request.id, RejectReason::kInvalid, actions);
    quota_check_.RecordDemand(&tenant, request, now_s);
    QuotaAssessment assessment = quota_check_.Assess(&tenant, request, now_s);
    load_shedder_.RecordArrival(request);
    if (quota_check_.IsLookupWorthwhile(tenant, request, assessment, now_s)) {
      WaitForCounter(&tenant, request, assessment, now_s, actions);
    } else if (assessment.decision == QuotaDecision::kOverQuota) {
      RejectOverQuota(request.id, actions);
    } else {
      ForwardOrShed(&tenant, request, assessment.decision, now_s, actions);
    }
  }

  void OnResponseStarted(uint32_t request_id) {
    auto it = in_flight_.find(request_id);
    if (it != in_flight_.end()) it->second.response_started = true;
  }

  void OnAttemptOutcome(double now_s, const AttemptOutcome& outcome, Actions* actions) {
    auto it = in_flight_.find(outcome.request_id);
    if (it == in_flight_.end()) return;
    InFlightRequest& request = it->second;
    auto index = static_cast<size_t>(outcome.attempt);
    if (outcome.attempt < 0 || index >= request.attempts.size()) return;
    if (!request.attempts[index].in_flight) return;
    RecordAttemptEnd(&request, index, outcome, now_s, actions);
    bool answered = outcome.result == CallResult::kOk && !request.finished;
    if (answered) RecordServed(request, outcome, now_s);
    if (outcome.request_finished || answered) {
      End(&request, actions);
    } else if (request.finished) {
      if (request.attempts_in_flight == 0) in_flight_.erase(it);
    } else if (request.attempts_in_flight == 0 && !StartAnotherAttempt(&request, now_s, actions)) {
      FinishWithoutResponse(&request, actions);
    }
  }

  void OnClientGone(uint32_t request_id, Actions* actions) {
    auto it = in_flight_.find(request_id);
    if (it != in_flight_.end() && !it->second.finished) End(&it->second, actions);
  }

  void OnTimer(double now_s, uint64_t tag, Actions* actions) {
    if (tag == kPollDiscoveryTag) {
      actions->push_back(PollDiscovery{});
      return;
    }
    if (tag == CounterSchedule::kPauseOverTag) return counter_.ReportDeferred(&tenants_, now_s, actions);
    auto it = in_flight_.find(static_cast<uint32_t>(tag));
    if (it == in_flight_.end() || it->second.finished || it->second.response_started) return;
    InFlightRequest& request = it->second;
    if (retry_policy_.IsOutOfTime(request, now_s)) {
      // Time during which this process was stalled is no sign of load at the backends.
      if (retry_policy_.IsOutOfTimeByRunningClock(request, running_clock_.At(now_s))) {
        load_shedder_.RecordDeadlineExceeded(now_s);
      }
      return FinishWithoutResponse(&request, actions);
    }
    if (!request.IsWaitingForCounter()) HedgeOrCancelSilentAttempt(&request, now_s, actions);
    StartCheckTimer(request, LastBackend(request), now_s, actions);
  }

  void OnStall(double duration_s) { running_clock_.RecordStall(duration_s); }

  void OnCounterReply(double now_s, const CounterReply& reply, Actions* actions) {
    std::optional<CounterSchedule::Call> call = counter_.TakePending(reply.key);
    if (!call.has_value()) return;
    Tenant* tenant = tenants_.Find(call->tenant_id);
    if (tenant == nullptr) return;
    tenant->quota.Refill(now_s, counter_.IsSilent());
    counter_.ApplyReply(*call, reply, tenant, now_s, actions);
    bool ok = reply.result == CallResult::kOk;
    if (!tenant->HasCallPending()) DecideWaitingRequests(tenant, ok, now_s, actions);
    if (ok) counter_.ReportUsage(tenant, now_s, actions);
  }

 private:
  void Reject(uint32_t request_id, RejectReason reason, Actions* actions) {
    actions->push_back(RejectRequest{request_id, 0, reason});
  }
  // The socket-based gateway responds with status 429, or with 503 if the settings disable Retry-After. In
  // the latter case clients cannot distinguish this rejection from others.
  void RejectOverQuota(uint32_t request_id, Actions* actions) {
    double retry_after_s = settings_.retry_after_enabled ? settings_.max_retry_after_s : 0;
    actions->push_back(RejectRequest{request_id, retry_after_s, RejectReason::kOverQuota});
  }

  void ForwardOrShed(Tenant* tenant, const Request& request, QuotaDecision decision, double now_s,
                     Actions* actions) {
    InFlightRequest arrived(request, now_s, running_clock_.At(now_s));
    bool within_quota = decision == QuotaDecision::kWithinQuota;
    bool shed = load_shedder_.ShouldShed(request, !within_quota, endpoints_, now_s);
    Backend* backend = SelectUnlessShed(arrived, shed, now_s);
    if (backend == nullptr) {
      if (within_quota) demand_share_.RecordPressure(now_s);
      return Reject(request.id, shed ? RejectReason::kOverload : RejectReason::kNoBackend, actions);
    }
    InFlightRequest& admitted = in_flight_[request.id] = std::move(arrived);
    Charge(tenant, &admitted, within_quota);
    if (within_quota) SampleUsageReport(tenant, request);
    Admit(tenant, &admitted, backend, now_s, actions);
    counter_.ReportUsage(tenant, now_s, actions);
  }

  // A request that is to be shed may still go to a backend in warm-up that has budget left.
  Backend* SelectUnlessShed(const InFlightRequest& request, bool shed, double now_s) {
    auto candidates = shed ? EndpointSelector::Candidates::kWarmingUp : EndpointSelector::Candidates::kAll;
    return selector_.Select(request, now_s, candidates);
  }

  void WaitForCounter(Tenant* tenant, const Request& request, const QuotaAssessment& assessment, double now_s,
                      Actions* actions) {
    InFlightRequest arrived(request, now_s, running_clock_.At(now_s));
    bool shed = load_shedder_.ShouldShed(request, false, endpoints_, now_s);
    if (shed && selector_.Select(arrived, now_s, EndpointSelector::Candidates::kWarmingUp) == nullptr) {
      return Reject(request.id, RejectReason::kOverload, actions);
    }
    bool reserve = assessment.probability_within >= kMinReserveProbability;
    if (reserve) tenant->Reserve(request.cost_units);
    const InFlightRequest& waiting = in_flight_[request.id] = std::move(arrived);
    StartCheckTimer(waiting, nullptr, now_s, actions);
    tenant->waiting.push_back({request.id, request.cost_units, reserve});
    // Concurrency is reported first, because the gateway may be allowed only one call. The total of the
    // concurrency is out of date within the duration of an attempt, that of the rate quota only within a
    // window.
    counter_.ReportConcurrency(tenant, now_s, actions);
    counter_.ReportUsage(tenant, now_s, actions);
    if (!tenant->HasCallPending()) DecideWaitingRequests(tenant, false, now_s, actions);
  }

  // Decides the requests that wait for the counter, from what is known now. They were not shed when they
  // arrived and are not shed here. `counter_replied` is true if the counter replied without an error.
  void DecideWaitingRequests(Tenant* tenant, bool counter_replied, double now_s, Actions* actions) {
    std::vector<WaitingRequest> waiting;
    waiting.swap(tenant->waiting);
    for (const WaitingRequest& entry : waiting) {
      if (entry.reserved) tenant->ReleaseReservation(entry.cost_units);
      auto it = in_flight_.find(entry.request_id);
      if (it == in_flight_.end() || it->second.finished) continue;
      InFlightRequest& request = it->second;
      QuotaDecision decision = quota_check_.Assess(tenant, request.request, now_s).decision;
      bool within_quota = decision == QuotaDecision::kWithinQuota;
      if (counter_replied) tenants_.RecordWaitingResult(tenant, within_quota);
      Backend* backend = within_quota ? selector_.Select(request, now_s) : nullptr;
      if (backend != nullptr) {
        Charge(tenant, &request, true);
        Admit(tenant, &request, backend, now_s, actions);
        continue;
      }
      if (decision == QuotaDecision::kOverQuota) {
        RejectOverQuota(entry.request_id, actions);
      } else {
        Reject(entry.request_id, RejectReason::kNoBackend, actions);
      }
      in_flight_.erase(it);
    }
    counter_.ReportConcurrency(tenant, now_s, actions);
  }

  void Charge(Tenant* tenant, InFlightRequest* request, bool within_quota) {
    double cost_units = request->request.cost_units;
    request->within_quota = within_quota;
    tenants_.RecordAdmission(tenant);
    tenant->quota.ChargeCeiling(cost_units);
    if (!tenant->quota.HasRateQuota()) return;
    if (within_quota) {
      tenant->quota.Charge(cost_units);
    } else {
      tenant->borrowing_allowance.Charge(cost_units, tenant->quota.tokens());
    }
  }

  // Reports only a random sample of the requests admitted without a lookup. Each sampled request is reported
  // with a multiple of its cost, so that it stands for the others as well.
  void SampleUsageReport(Tenant* tenant, const Request& request) {
    TenantQuota& quota = tenant->quota;
    if (!quota.HasRateQuota() || quota.HasSingleGateway()) return;
    double probability = counter_.ReportingProbability(quota.ingress_gateways());
    double factor = random_.Uniform() < probability ? 1 / probability : 0;
    quota.AddUnreported(request.cost_units * (factor - 1));
  }

  void Admit(Tenant* tenant, InFlightRequest* request, Backend* backend, double now_s, Actions* actions) {
    retry_policy_.RecordAdmission();
    Forward(tenant, request, backend, now_s, actions);
    StartCheckTimer(*request, backend, now_s, actions);
  }

  // `tenant` is null if it has been removed from the table.
  void Forward(Tenant* tenant, InFlightRequest* request, Backend* backend, double now_s, Actions* actions) {
    request->attempts.push_back(
        {backend->endpoint.id, now_s, true, running_clock_.At(now_s), backend->incarnation});
    ++request->attempts_in_flight;
    ++backend->attempts_in_flight;
    load_shedder_.RecordAttemptStarted();
    backend->warm_up.Charge(estimator_.ExpectedLatencyS(request->request));
    if (tenant != nullptr) {
      tenant->concurrency.AttemptStarted();
      counter_.ReportConcurrency(tenant, now_s, actions);
    }
    double timeout_s = std::max(settings_.timer_resolution_s, request->deadline_at_s - now_s);
    actions->push_back(ForwardAttempt{request->request.id, backend->endpoint.id, timeout_s});
  }

  // `backend` is the backend of the last attempt, or null.
  void StartCheckTimer(const InFlightRequest& request, const Backend* backend, double now_s,
                       Actions* actions) {
    double delay_s = retry_policy_.CheckDelayS(request, backend, now_s);
    actions->push_back(StartTimer{delay_s, request.request.id});
  }

  Backend* LastBackend(const InFlightRequest& request) {
    return request.attempts.empty() ? nullptr : endpoints_.Find(request.attempts.back().backend_id);
  }

  void HedgeOrCancelSilentAttempt(InFlightRequest* request, double now_s, Actions* actions) {
    Backend* backend = LastBackend(*request);
    if (!retry_policy_.ShouldHedgeOrCancel(*request, backend, now_s)) return;
    if (!HasRunForCheckDelay(*request, backend, now_s)) return;
    if (settings_.hedging_enabled) {
      // With other attempts in flight at this backend, it is the backend that is silent and not only this
      // request that is slow.
      bool is_serving = backend->IsServing(request->attempts.back());
      if (is_serving && backend->attempts_in_flight > 1) feedback_.RecordFailure(backend, now_s, actions);
      StartAnotherAttempt(request, now_s, actions);
    } else if (settings_.cancellation_enabled && retry_policy_.MayRetry(*request, now_s)) {
      int last = static_cast<int>(request->attempts.size()) - 1;
      actions->push_back(CancelAttempt{request->request.id, last});
    }
  }

  // Whether the last attempt has been in flight for the check delay, not counting time during which this
  // process was stalled. Otherwise all attempts would seem to be silent at once after a stall.
  bool HasRunForCheckDelay(const InFlightRequest& request, const Backend* backend, double now_s) const {
    const Attempt& last = request.attempts.back();
    double running_for_s = running_clock_.At(now_s) - last.sent_at_running_s;
    bool was_stalled = now_s - last.sent_at_s > running_for_s + settings_.timer_resolution_s;
    return !was_stalled || running_for_s >= retry_policy_.CheckDelayS(request, backend, now_s);
  }

  // Starts a retry, or a hedge if an attempt is in flight. Returns false if no further attempt is allowed or
  // no backend can take it.
  bool StartAnotherAttempt(InFlightRequest* request, double now_s, Actions* actions) {
    if (!retry_policy_.MayRetry(*request, now_s)) return false;
    Backend* backend = selector_.Select(*request, now_s);
    if (backend == nullptr) return false;
    retry_policy_.RecordRetry();
    Forward(tenants_.Find(request->request.tenant), request, backend, now_s, actions);
    return true;
  }

  void RecordAttemptEnd(InFlightRequest* request, size_t index, const AttemptOutcome& outcome, double now_s,
                        Actions* actions) {
    Attempt& attempt = request->attempts[index];
    attempt.in_flight = false;
    --request->attempts_in_flight;
    load_shedder_.RecordAttemptEnded(now_s);
    if (Tenant* tenant = tenants_.Find(request->request.tenant)) {
      tenant->quota.Refill(now_s, counter_.IsSilent());
      tenant->concurrency.AttemptEnded();
      counter_.ReportConcurrency(tenant, now_s, actions);
    }
    Backend* backend = endpoints_.Find(attempt.backend_id);
    if (backend != nullptr && backend->IsServing(attempt)) {
      --backend->attempts_in_flight;
      feedback_.Record(backend, *request, attempt, outcome, now_s, actions);
    }
    if (MayHaveRun(outcome.result) && !request->may_have_run) {
      request->may_have_run = true;
      request->first_run_sent_at_s = attempt.sent_at_s;
      request->run_zone = backend != nullptr ? backend->endpoint.zone : -1;
      request->run_cell = backend != nullptr ? backend->endpoint.cell : -1;
    }
  }

  void RecordServed(const InFlightRequest& request, const AttemptOutcome& outcome, double now_s) {
    demand_share_.RecordServed(request.request.cost_units, now_s);
    if (outcome.actual_cost_units <= 0 || !request.within_quota) return;
    Tenant* tenant = tenants_.Find(request.request.tenant);
    if (tenant == nullptr || !tenant->quota.HasRateQuota()) return;
    tenant->quota.Charge(outcome.actual_cost_units - request.request.cost_units);
  }

  // Gives the final response of a request that got none from its attempts.
  void FinishWithoutResponse(InFlightRequest* request, Actions* actions) {
    if (retry_policy_.MayReject(*request)) {
      Reject(request->request.id, RejectReason::kGivenUp, actions);
    } else {
      actions->push_back(FailRequest{request->request.id});
    }
    End(request, actions);
  }

  // Ends a request that has its final response, and erases it if none of its attempts is in flight. `request`
  // may be invalid afterwards.
  void End(InFlightRequest* request, Actions* actions) {
    request->finished = true;
    bool cancel = settings_.cancellation_enabled && !request->response_started;
    for (size_t i = 0; i < request->attempts.size(); ++i) {
      if (cancel && request->attempts[i].in_flight) {
        actions->push_back(CancelAttempt{request->request.id, static_cast<int>(i)});
      }
    }
    if (request->attempts_in_flight == 0) in_flight_.erase(request->request.id);
  }

  const Settings settings_;
  RandomSource random_;
  RunningClock running_clock_;
  ServiceEstimator estimator_;
  TenantTable tenants_;
  DemandShare demand_share_;
  CounterSchedule counter_;
  QuotaCheck quota_check_;
  SlowStart slow_start_;
  EndpointSet endpoints_;
  LoadShedder load_shedder_;
  RetryPolicy retry_policy_;
  EndpointSelector selector_;
  OutcomeFeedback feedback_;
  std::unordered_map<uint32_t, InFlightRequest> in_flight_;
};

AdmissionPolicy::AdmissionPolicy(const Settings& settings, uint64_t seed, double now_s, Actions* actions)
    : impl_(std::make_unique<Impl>(settings, seed, now_s, actions)) {}

AdmissionPolicy::~AdmissionPolicy() = default;

void AdmissionPolicy::OnEndpointUpdate(double now_s, EndpointUpdateKind kind,
                                       const std::vector<Endpoint>& endpoints, Actions* actions) {
  impl_->OnEndpointUpdate(now_s, kind, endpoints, actions);
}

void AdmissionPolicy::OnRequest(double now_s, const Request& request, Actions* actions) {
  impl_->OnRequest(now_s, request, actions);
}

void AdmissionPolicy::OnResponseStarted(double /*now_s*/, uint32_t request_id, Actions* /*actions*/) {
  impl_->OnResponseStarted(request_id);
}

void AdmissionPolicy::OnAttemptOutcome(double now_s, const AttemptOutcome& outcome, Actions* actions) {
  impl_->OnAttemptOutcome(now_s, outcome, actions);
}

void AdmissionPolicy::OnClientGone(double /*now_s*/, uint32_t request_id, Actions* actions) {
  impl_->OnClientGone(request_id, actions);
}

void AdmissionPolicy::OnTimer(double now_s, uint64_t tag, Actions* actions) {
  impl_->OnTimer(now_s, tag, actions);
}

void AdmissionPolicy::OnStall(double duration_s) { impl_->OnStall(duration_s); }

void AdmissionPolicy::OnCounterReply(double now_s, const CounterReply& reply, Actions* actions) {
  impl_->OnCounterReply(now_s, reply, actions);
}

}  // namespace gateway::policy
