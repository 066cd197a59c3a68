// Tests of DemandShare (PAPER, eq. 11 and 12), which lends the capacity that other tenants leave unused to
// tenants whose plan allows borrowing.
#include <gtest/gtest.h>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeSettings;
using test_support::PolicyFixture;

// Terms for a request beyond the quota, as shares of its full value: what it earns and what is charged for
// it.
struct ExcessTerms {
  double value_share = 0;
  double penalty = 0;
};
constexpr ExcessTerms kSoftPlan{.value_share = 0.3, .penalty = 0};  // the earnings exceed the penalty
constexpr ExcessTerms kHardPlan{.value_share = 0, .penalty = 1};

Settings MakePlanSettings(const ExcessTerms& excess) {
  Settings settings = MakeSettings();
  settings.counter_enabled = false;
  settings.plans[0].excess_value_share = excess.value_share;
  settings.plans[0].over_quota_penalty = excess.penalty;
  return settings;
}

// Serves one request of each of five new tenants, which leaves almost all of their quota unused.
void ServeFiveNewTenants(PolicyFixture* gateway, uint64_t* next_tenant) {
  for (int i = 0; i < 5; ++i) gateway->ServeRequest({.tenant = (*next_tenant)++});
}

// One tenant sends 100 requests within 2 s, while new tenants send requests too. Returns how many of the 100
// requests were forwarded.
int CountForwardedBesideNewTenants(const Settings& settings) {
  PolicyFixture gateway(settings);
  uint64_t next_tenant = 100;
  int forwarded = 0;
  for (int i = 0; i < 100; ++i) {
    gateway.SetTime(100 + i * 0.02);
    ServeFiveNewTenants(&gateway, &next_tenant);
    forwarded += gateway.ServeRequest() ? 1 : 0;
  }
  return forwarded;
}

TEST(DemandShare, OnlySoftPlansBorrowBeyondTheirQuota) {
  EXPECT_LE(CountForwardedBesideNewTenants(MakePlanSettings(kHardPlan)), 14);
  EXPECT_GT(CountForwardedBesideNewTenants(MakePlanSettings(kSoftPlan)), 40);
}

// The backends reject attempts because they are overloaded. If a tenant could still borrow, its excess
// requests would take capacity from requests within their quota. Nothing may be lent for some time after a
// rejected attempt.
TEST(DemandShare, NothingIsLentWhileBackendsRejectAttempts) {
  PolicyFixture gateway(MakePlanSettings(kSoftPlan));
  uint64_t next_tenant = 100;
  int forwarded = 0;
  for (int i = 0; i < 100; ++i) {
    gateway.SetTime(100 + i * 0.02);
    ServeFiveNewTenants(&gateway, &next_tenant);
    const uint32_t request = gateway.SendRequest({.tenant = 1000 + static_cast<uint64_t>(i)});
    ASSERT_TRUE(gateway.Forwarded());
    const bool is_overloaded = i % 5 == 0;
    gateway.CompleteAttempt(request, is_overloaded ? CallResult::kRejected : CallResult::kOk);
    ASSERT_EQ(gateway.Forwarded(), is_overloaded);  // the retry
    if (is_overloaded) gateway.CompleteAttempt(request, CallResult::kOk);
    forwarded += gateway.ServeRequest() ? 1 : 0;
  }
  EXPECT_LE(forwarded, 14);
}

// A soft plan has a cap on concurrent attempts and no rate quota. Attempts beyond the cap are borrowed. If
// they were treated as within the quota, they would not be rejected first under pressure.
TEST(DemandShare, AttemptsBeyondACapAreBorrowed) {
  Settings settings = MakePlanSettings(kSoftPlan);
  settings.plans[0].rate_units_per_s = 0;
  settings.plans[0].burst_units = 0;
  settings.plans[0].max_concurrent_attempts = 2;
  PolicyFixture gateway(settings);
  const uint32_t slow = gateway.SendRequest({.tenant = 77});
  gateway.Advance(settings.classes[0].latency_objective_s + 0.1);
  for (int i = 0; i < 3; ++i) {
    gateway.SendRequest();
    EXPECT_TRUE(gateway.Forwarded()) << "attempt " << i + 1
                                     << " of 3; the third is borrowed beyond the cap of 2";
  }
  gateway.CompleteAttempt(slow, CallResult::kOk);  // a response past its latency objective causes pressure
  gateway.SendRequest();
  ASSERT_TRUE(gateway.Rejected());
  EXPECT_EQ(gateway.Find<RejectRequest>()->reason, RejectReason::kOverQuota);
}

}  // namespace
}  // namespace gateway::policy
