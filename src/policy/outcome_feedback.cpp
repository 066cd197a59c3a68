#include "policy/outcome_feedback.h"

#include <algorithm>
#include <string>

namespace gateway::policy {
namespace {

// Weight of one response in the relative latency of its backend, and the cap on the value of one response.
constexpr double kRelativeLatencyWeight = 0.05;
constexpr double kMaxRelativeLatency = 5;

// Returns whether the backend itself sent a response, which shows that its process is running.
bool IsBackendResponse(CallResult result) {
  return result == CallResult::kOk || result == CallResult::kRejected || result == CallResult::kError;
}

std::string BackendLogField(const Backend& backend) {
  return " backend=" + std::to_string(backend.endpoint.id);
}

}  // namespace

void OutcomeFeedback::Record(Backend* backend, const InFlightRequest& request, const Attempt& attempt,
                             const AttemptOutcome& outcome, double now_s, Actions* actions) {
  bool silent = backend->IsSilentSince(attempt.sent_at_s);
  if (IsBackendResponse(outcome.result)) backend->last_response_at_s = now_s;
  switch (outcome.result) {
    case CallResult::kOk: {
      double cost_units =
          outcome.actual_cost_units > 0 ? outcome.actual_cost_units : request.request.cost_units;
      double latency_s = EstimateLatencyS(request.request, attempt, now_s);
      RecordResponse(backend, request.request, cost_units, latency_s, now_s, actions);
      break;
    }
    case CallResult::kError: RecordFailure(backend, now_s, actions); break;
    case CallResult::kTimeout:
      if (silent) {
        RecordFailure(backend, now_s, actions);
      } else {
        RecordRejection(backend, now_s);
      }
      break;
    case CallResult::kRejected: RecordRejection(backend, now_s); break;
    case CallResult::kConnectFailed:
    case CallResult::kReset: RecordConnectionFailure(backend, now_s, actions); break;
    case CallResult::kCancelled:
      if (!request.finished && backend->attempts_in_flight > 0 && silent) {
        RecordFailure(backend, now_s, actions);
      }
      break;
    case CallResult::kNeverSent: break;
  }
}

double OutcomeFeedback::EstimateLatencyS(const Request& request, const Attempt& attempt, double now_s) const {
  double max_latency_s = now_s - attempt.sent_at_s;
  double min_latency_s = std::min(max_latency_s, running_clock_.At(now_s) - attempt.sent_at_running_s);
  return std::clamp(estimator_.ExpectedLatencyS(request), min_latency_s, max_latency_s);
}

void OutcomeFeedback::RecordResponse(Backend* backend, const Request& request, double cost_units,
                                     double latency_s, double now_s, Actions* actions) {
  // Slow start ignores the responses of a backend that is warming up: the load that it is sent and what it
  // rejects do not show what a warmed-up backend can serve.
  if (!backend->warm_up.IsActive()) slow_start_.RecordWarmResponse(request, now_s);
  if (backend->outlier.RecordSuccess()) {
    actions->push_back(LogEvent{"backend_returned" + BackendLogField(*backend)});
  }
  ServiceEstimator::Sample sample = estimator_.RecordResponse(request.request_class, cost_units, latency_s);
  double relative_latency = std::min(sample.relative_latency, kMaxRelativeLatency);
  backend->relative_latency += kRelativeLatencyWeight * (relative_latency - backend->relative_latency);
  double objective_s = settings_.ClassAt(request.request_class).latency_objective_s;
  double latency_share = sample.cost_adjusted_latency_s / objective_s;
  load_shedder_.RecordLatency(latency_share, now_s);
  if (latency_s > objective_s) demand_share_.RecordPressure(now_s);
  backend->limiter.RecordResponse(latency_share, backend->attempts_in_flight, now_s);
}

void OutcomeFeedback::RecordRejection(Backend* backend, double now_s) {
  load_shedder_.RecordRejection(now_s);
  demand_share_.RecordPressure(now_s);
  backend->limiter.RecordRejection(backend->attempts_in_flight, now_s);
}

void OutcomeFeedback::RecordConnectionFailure(Backend* backend, double now_s, Actions* actions) {
  slow_start_.BeginIfUnreachable(&backend->warm_up, backend->last_response_at_s, now_s);
  RecordFailure(backend, now_s, actions);
}

void OutcomeFeedback::RecordFailure(Backend* backend, double now_s, Actions* actions) {
  if (!backend->outlier.RecordFailure(now_s)) return;
  actions->push_back(LogEvent{"backend_ejected" + BackendLogField(*backend) +
                              " ejection_s=" + std::to_string(backend->outlier.ejection_s())});
}

}  // namespace gateway::policy
