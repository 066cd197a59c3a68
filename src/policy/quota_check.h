// Decides whether a request is within its tenant's quotas and whether to call the counter first.
#ifndef GATEWAY_POLICY_QUOTA_CHECK_H_
#define GATEWAY_POLICY_QUOTA_CHECK_H_

#include "policy/counter_schedule.h"
#include "policy/demand_share.h"
#include "policy/random_source.h"
#include "policy/service_estimator.h"
#include "policy/settings.h"
#include "policy/tenant.h"

namespace gateway::policy {

enum class QuotaDecision {
  kWithinQuota,
  kBorrowed,   // beyond the quota, using spare capacity granted by DemandShare
  kOverQuota,  // to be rejected
};

struct QuotaAssessment {
  QuotaDecision decision = QuotaDecision::kOverQuota;
  // Probability that the fleet-wide quotas cover the request, from what is known now. It is 0 if the decision
  // is certain: if the ceiling rejects the request, or if the tenant has a rate quota and a single ingress
  // gateway.
  double probability_within = 0;
};

// Combines the rules of TenantQuota, ConcurrencyQuota and DemandShare into one decision for each request.
class QuotaCheck {
 public:
  // The arguments must outlive this object.
  QuotaCheck(const Settings& settings, const ServiceEstimator& estimator, const CounterSchedule& counter,
             DemandShare* demand_share, RandomSource* random)
      : settings_(settings),
        estimator_(estimator),
        counter_(counter),
        demand_share_(*demand_share),
        random_(*random) {}

  // Adds the request to its tenant's demand. Call this once for each request, when it arrives.
  void RecordDemand(Tenant* tenant, const Request& request, double now_s);

  // Assesses the request from what is known now. A request that has waited for the counter is assessed again.
  // Nothing is charged to the quotas.
  QuotaAssessment Assess(Tenant* tenant, const Request& request, double now_s);

  // Whether the request should wait some milliseconds for the counter, because the reply may change the
  // decision and the expected gain exceeds the price of a call. May draw a random number.
  bool IsLookupWorthwhile(const Tenant& tenant, const Request& request, const QuotaAssessment& assessment,
                          double now_s);

 private:
  // Assesses a request whose plan has a cap on concurrent attempts but no rate quota.
  QuotaAssessment AssessConcurrency(const Tenant& tenant, double probability_within, double now_s);
  // Probability that the tenant's cap on concurrent attempts leaves room for one more attempt. It is 1
  // without a cap.
  double ProbabilityWithinCap(const Tenant& tenant, const Request& request, double now_s) const;
  // Estimates the tenant's demand at all gateways. It assumes that each of the tenant's ingress gateways sees
  // the same demand as this one, not counting this request.
  static double FleetDemandUnitsPerS(const Tenant& tenant, const Request& request, double now_s);
  // Estimated share of requests like this one that are within the cap, for use without a recent total.
  double PriorWithinCap(const Tenant& tenant, const Request& request, double now_s) const;
  // Estimated share of requests like this one that are within the rate quota, from earlier lookups.
  double PriorWithinQuota(const Tenant& tenant, const Request& request, double now_s) const;

  const Settings& settings_;
  const ServiceEstimator& estimator_;
  const CounterSchedule& counter_;
  DemandShare& demand_share_;
  RandomSource& random_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_QUOTA_CHECK_H_
