#include "policy/quota_check.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeSettings;

// A request that waits for the counter is assessed on arrival and again when the reply has arrived. If each
// assessment counted as demand, the grants of all tenants that may borrow would be too small.
TEST(QuotaCheck, CountsAWaitingRequestAsDemandOnce) {
  constexpr double kNowS = 100;
  constexpr double kNextTickS = 0.15;
  constexpr double kServedUnits = 8;
  Settings settings = MakeSettings();
  settings.plans.push_back(settings.plans[0]);
  settings.plans[1].excess_value_share = 0.3;  // may borrow
  settings.plans[1].over_quota_penalty = 0;
  RandomSource random(1);
  ServiceEstimator estimator(settings);
  CounterSchedule counter(settings);
  DemandShare demand_share;
  QuotaCheck check(settings, estimator, counter, &demand_share, &random);
  TenantTable tenants(settings, kNowS);

  Request waiting{.id = 1, .plan = 0, .tenant = 1, .time_left_s = 1, .cost_units = 4, .ingress_gateways = 2};
  Request borrowing{.id = 2, .plan = 1, .tenant = 2, .time_left_s = 1, .cost_units = 4};
  Tenant& waiting_tenant = tenants.RecordRequest(waiting, kNowS);
  check.RecordDemand(&waiting_tenant, waiting, kNowS);
  check.Assess(&waiting_tenant, waiting, kNowS);
  check.Assess(&waiting_tenant, waiting, kNowS);
  Tenant& borrowing_tenant = tenants.RecordRequest(borrowing, kNowS);
  check.RecordDemand(&borrowing_tenant, borrowing, kNowS);
  demand_share.RecordServed(kServedUnits, kNowS);

  borrowing_tenant.quota.Charge(borrowing_tenant.quota.tokens());
  check.RecordDemand(&borrowing_tenant, borrowing, kNowS + kNextTickS);
  double tokens = borrowing_tenant.quota.tokens();
  double grant = (kServedUnits - tokens) / 2;  // half of the demand was from this tenant
  EXPECT_NEAR(borrowing_tenant.borrowing_allowance.units(),
              std::min(grant, settings.plans[1].burst_units - tokens), 1e-6);
}

}  // namespace
}  // namespace gateway::policy
