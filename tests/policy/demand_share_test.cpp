// The share term (PAPER, eq. 11 and 12): capacity that other tenants leave unused, which a tenant may borrow
// where its plan allows that.
#include <gtest/gtest.h>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeSettings;
using test_support::PolicyFixture;

// Value of a request beyond the quota, as shares of its full value: what it earns, and what is charged for
// it.
struct ExcessTerms {
  double value_share = 0;
  double penalty = 0;
};
constexpr ExcessTerms kSoftPlan{.value_share = 0.3, .penalty = 0};  // earns more than it is charged
constexpr ExcessTerms kHardPlan{.value_share = 0, .penalty = 1};

Settings MakePlanSettings(const ExcessTerms& excess) {
  Settings settings = MakeSettings();
  settings.counter_enabled = false;
  settings.plans[0].excess_value_share = excess.value_share;
  settings.plans[0].over_quota_penalty = excess.penalty;
  return settings;
}

// Serves a request of each of five new tenants, which leave nearly all of their quota unused.
void ServeFiveNewTenants(PolicyFixture* gateway, uint64_t* next_tenant) {
  for (int i = 0; i < 5; ++i) gateway->ServeRequest({.tenant = (*next_tenant)++});
}

// For 2 s, one tenant sends a hundred requests beside new tenants. Returns how many of them were forwarded.
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

// Backends reject attempts because they are overloaded. If a tenant could still borrow quota, its excess
// would take capacity from requests within their quota. For a while after a rejected attempt nothing is lent.
TEST(DemandShare, NothingIsLentWhileBackendsReject) {
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

// A soft plan has a cap on concurrent attempts and no quota on the rate. What it sends beyond the cap is
// borrowed: were it taken for within the quota, it would not be the first to be rejected under pressure.
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
    EXPECT_TRUE(gateway.Forwarded()) << "the third is borrowed";
  }
  gateway.CompleteAttempt(slow, CallResult::kOk);  // past its latency objective: there is pressure
  gateway.SendRequest();
  ASSERT_TRUE(gateway.Rejected());
  EXPECT_EQ(gateway.Find<RejectRequest>()->reason, RejectReason::kOverQuota);
}

}  // namespace
}  // namespace gateway::policy
