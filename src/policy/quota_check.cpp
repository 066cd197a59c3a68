#include "policy/quota_check.h"

#include <algorithm>

namespace gateway::policy {
namespace {

// A request with less time left than this many counter time-outs does not wait for the counter.
constexpr double kMinTimeLeftTimeouts = 4;
// A request is looked up if the expected gain, times a random factor, reaches the price of a lookup. The
// factor lies between this value and this value plus one, so that gateways with the same view do not all call
// at once.
constexpr double kMinGainFactor = 0.5;
// Probability from which a request counts as within the cap if its plan allows borrowing.
constexpr double kLikelyWithin = 0.5;
// The prior is used as it is while the estimated fleet-wide demand is at most this share of the quota's rate
// or of the cap.
constexpr double kPriorDemandShare = 0.5;

// With p the probability of being within quota, admitting is worthwhile if the expected value p is at least
// the expected loss (1 - p) x loss. This always holds for a negative loss, that is, if requests beyond the
// quota earn more than they cost.
bool IsWorthAdmitting(double probability_within, double loss) {
  return probability_within * (1 + loss) >= loss;
}

// Whether a request counts as within the cap on concurrent attempts. If the plan allows borrowing, admitting
// is always worthwhile and tells nothing about the cap, so the request counts as within the cap if that is at
// least as likely as not.
bool CountsAsWithinCap(double probability_within, const PlanSettings& plan) {
  if (AllowsBorrowing(plan)) return probability_within >= kLikelyWithin;
  return IsWorthAdmitting(probability_within, OverQuotaLoss(plan));
}

}  // namespace

void QuotaCheck::RecordDemand(Tenant* tenant, const Request& request, double now_s) {
  TenantQuota& quota = tenant->quota;
  quota.Refill(now_s, counter_.IsSilent());
  demand_share_.RecordDemand(&tenant->borrowing_allowance, request.cost_units, quota.tokens(),
                             quota.plan().burst_units, now_s);
}

QuotaAssessment QuotaCheck::Assess(Tenant* tenant, const Request& request, double now_s) {
  TenantQuota& quota = tenant->quota;
  const PlanSettings& plan = quota.plan();
  quota.Refill(now_s, counter_.IsSilent());
  if (!quota.CeilingAllows(request.cost_units)) return {};
  double loss = OverQuotaLoss(plan);
  double concurrency_probability = ProbabilityWithinCap(*tenant, request, now_s);
  if (quota.HasConcurrencyCap() && !quota.HasRateQuota()) {
    return AssessConcurrency(*tenant, concurrency_probability, now_s);
  }
  QuotaAssessment assessment;
  bool within = quota.HasRoom(request.cost_units, now_s) && CountsAsWithinCap(concurrency_probability, plan);
  if (!quota.HasSingleGateway()) {
    double prior = PriorWithinQuota(*tenant, request, now_s);
    if (!quota.IsOthersUsageKnown() && !IsWorthAdmitting(prior, loss)) within = false;
    double probability = quota.ProbabilityOfRoom(request.cost_units, now_s, prior,
                                                 settings_.max_request_units, counter_.IsSilent());
    // Both quotas tend to be exhausted at the same time and both probabilities use the same prior, so the
    // lower one decides.
    assessment.probability_within = std::min(probability, concurrency_probability);
  }
  if (within) {
    assessment.decision = QuotaDecision::kWithinQuota;
  } else if (AllowsBorrowing(plan) &&
             quota.tokens() + tenant->borrowing_allowance.units() >= request.cost_units &&
             !demand_share_.IsUnderPressure(now_s)) {
    assessment.decision = QuotaDecision::kBorrowed;
  }
  return assessment;
}

double QuotaCheck::ProbabilityWithinCap(const Tenant& tenant, const Request& request, double now_s) const {
  const TenantQuota& quota = tenant.quota;
  if (!quota.HasConcurrencyCap()) return 1;
  int cap = quota.plan().max_concurrent_attempts;
  double room =
      tenant.concurrency.ProbabilityOfRoom(cap, estimator_.MeanLatencyS(request.request_class), now_s);
  return tenant.concurrency.ProbabilityWithinCap(cap, room, PriorWithinCap(tenant, request, now_s),
                                                 !quota.HasSingleGateway(), counter_.IsSilent(), now_s);
}

QuotaAssessment QuotaCheck::AssessConcurrency(const Tenant& tenant, double probability_within, double now_s) {
  const PlanSettings& plan = tenant.quota.plan();
  QuotaAssessment assessment;
  assessment.probability_within = probability_within;
  if (CountsAsWithinCap(probability_within, plan)) {
    assessment.decision = QuotaDecision::kWithinQuota;
  } else if (AllowsBorrowing(plan) && !demand_share_.IsUnderPressure(now_s)) {
    assessment.decision = QuotaDecision::kBorrowed;
  }
  return assessment;
}

double QuotaCheck::FleetDemandUnitsPerS(const Tenant& tenant, const Request& request, double now_s) {
  return (tenant.requested_units - request.cost_units) * tenant.quota.ingress_gateways() /
         (now_s - tenant.quota.created_at_s() + TenantTable::kMinIdleS);
}

double QuotaCheck::PriorWithinQuota(const Tenant& tenant, const Request& request, double now_s) const {
  double excess = 0;
  if (!counter_.IsSilent()) {
    double demand_units_per_s = FleetDemandUnitsPerS(tenant, request, now_s);
    excess = std::max(0.0, demand_units_per_s / tenant.quota.plan().rate_units_per_s - kPriorDemandShare);
  }
  return tenant.within_quota_share / (1 + excess);
}

double QuotaCheck::PriorWithinCap(const Tenant& tenant, const Request& request, double now_s) const {
  double excess = 0;
  if (!counter_.IsSilent() && !tenant.quota.HasSingleGateway()) {
    // Little's law gives the attempts in flight, if all requests cost as much as this one.
    double requests_per_s = FleetDemandUnitsPerS(tenant, request, now_s) / request.cost_units;
    double attempts = requests_per_s * estimator_.MeanLatencyS(request.request_class);
    excess = std::max(0.0, attempts / tenant.quota.plan().max_concurrent_attempts - kPriorDemandShare);
  }
  return tenant.within_quota_share / (1 + excess);
}

bool QuotaCheck::IsLookupWorthwhile(const Tenant& tenant, const Request& request,
                                    const QuotaAssessment& assessment, double now_s) {
  const PlanSettings& plan = tenant.quota.plan();
  if (!settings_.counter_enabled || AllowsBorrowing(plan) || tenant.quota.HasSingleGateway()) return false;
  if (request.time_left_s < kMinTimeLeftTimeouts * settings_.counter_timeout_s) return false;
  bool admitted = assessment.decision != QuotaDecision::kOverQuota;
  double probability = assessment.probability_within;
  double gain = (admitted ? (1 - probability) * OverQuotaLoss(plan) : probability) *
                (kMinGainFactor + random_.Uniform());
  if (gain < counter_.LookupPrice()) return false;
  return counter_.MayCall(now_s) || tenant.HasCallPending();
}

}  // namespace gateway::policy
