// Whether a request is within its tenant's quotas, and whether the counter is asked first.
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
  kBorrowed,   // beyond the quota, on capacity that the demand share has granted
  kOverQuota,  // to be rejected
};

struct QuotaAssessment {
  QuotaDecision decision = QuotaDecision::kOverQuota;
  // Probability that the fleet-wide quotas cover the request, by what is known now. 0 for a tenant with a
  // rate quota that comes through one gateway alone, where the decision is certain.
  double probability_within = 0;
};

// Combines the rules of tenant_quota, concurrency_quota and demand_share into one decision.
class QuotaCheck {
 public:
  // The references must outlive this.
  QuotaCheck(const Settings& settings, const ServiceEstimator& estimator, const CounterSchedule& counter,
             DemandShare* demand_share, RandomSource* random)
      : settings_(settings),
        estimator_(estimator),
        counter_(counter),
        demand_share_(*demand_share),
        random_(*random) {}

  // Counts the request as its tenant's demand. To be called once for each, when it arrives.
  void RecordDemand(Tenant* tenant, const Request& request, double now_s);

  // Decides by what is known now; again for one that has waited for the counter. Charges nothing.
  QuotaAssessment Assess(Tenant* tenant, const Request& request, double now_s);

  // Whether the request should wait for the counter, some milliseconds: where the reply may change the
  // decision, and that is worth more than a call. May draw a random number.
  bool IsLookupWorthwhile(const Tenant& tenant, const Request& request, const QuotaAssessment& assessment,
                          double now_s);

 private:
  // For a plan whose only limit is the cap on concurrent attempts.
  QuotaAssessment AssessConcurrency(const Tenant& tenant, double probability_within, double now_s);
  // Probability that the tenant's cap on concurrent attempts covers one more; 1 without a cap.
  double ProbabilityWithinCap(const Tenant& tenant, const Request& request, double now_s) const;
  // What the tenant asks for here, before this request, taken to be the same at each of its ingress gateways.
  static double FleetDemandUnitsPerS(const Tenant& tenant, const Request& request, double now_s);
  // Share of requests like this one that are within the cap, where it was not read.
  double PriorWithinCap(const Tenant& tenant, const Request& request, double now_s) const;
  // Share of requests like this one that are within the quota, from earlier lookups.
  double PriorWithinQuota(const Tenant& tenant, const Request& request, double now_s) const;

  const Settings& settings_;
  const ServiceEstimator& estimator_;
  const CounterSchedule& counter_;
  DemandShare& demand_share_;
  RandomSource& random_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_QUOTA_CHECK_H_
