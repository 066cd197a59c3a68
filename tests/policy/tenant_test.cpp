#include "policy/tenant.h"

#include <gtest/gtest.h>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeSettings;

constexpr double kNowS = 100;
constexpr size_t kMaxTenants = 100;
constexpr uint64_t kCustomer = 1;
constexpr uint64_t kFirstNewName = 1000;

Settings SettingsWithSmallTable() {
  Settings settings = MakeSettings();
  settings.max_tenants = kMaxTenants;
  return settings;
}

Request RequestOf(uint64_t tenant) {
  return {.id = 1, .plan = 0, .tenant = tenant, .time_left_s = 1, .cost_units = 1, .ingress_gateways = 1};
}

// Sends a request of the tenant and charges it, as if it had been admitted.
Tenant& AdmitRequestOf(uint64_t tenant, TenantTable* tenants, double now_s) {
  Tenant& admitted = tenants->RecordRequest(RequestOf(tenant), now_s);
  admitted.quota.Refill(now_s, false);
  tenants->RecordAdmission(&admitted);
  admitted.quota.Charge(1);
  admitted.quota.ChargeCeiling(1);
  return admitted;
}

// A client sends requests under ever new names that are all rejected, so that nothing was charged to them
// (picture (b) of "What the review found"). The table grew with each name. Now it is bounded, and a customer
// that has used its quota does not get it back for that.
TEST(TenantTable, ForgetsRejectedNamesBeforeTenantsThatHaveUsedTheirQuota) {
  constexpr int kNames = 10000;
  Settings settings = SettingsWithSmallTable();
  TenantTable tenants(settings, kNowS);
  double tokens_left = 0;
  for (int i = 0; i < 9; ++i) tokens_left = AdmitRequestOf(kCustomer, &tenants, kNowS).quota.tokens();
  for (int i = 0; i < kNames; ++i) {
    tenants.RecordRequest(RequestOf(kFirstNewName + static_cast<uint64_t>(i)), kNowS);
    EXPECT_LE(tenants.size(), kMaxTenants);
  }
  EXPECT_EQ(tenants.RecordRequest(RequestOf(kCustomer), kNowS).quota.tokens(), tokens_left);
}

// Where all names have used their quotas, those used longest ago are forgotten, and not the customer that
// sends all the time.
TEST(TenantTable, ForgetsTheLeastRecentlyUsedTenantsIfAllHaveUsedTheirQuota) {
  Settings settings = SettingsWithSmallTable();
  TenantTable tenants(settings, kNowS);
  AdmitRequestOf(kCustomer, &tenants, kNowS);
  for (uint64_t i = 0; i < 10 * kMaxTenants; ++i) {
    AdmitRequestOf(kFirstNewName + i, &tenants, kNowS);
    if (i % (kMaxTenants / 2) == 0) tenants.RecordRequest(RequestOf(kCustomer), kNowS);
  }
  EXPECT_LE(tenants.size(), kMaxTenants);
  EXPECT_NE(tenants.Find(kCustomer), nullptr);
  EXPECT_EQ(tenants.Find(kFirstNewName), nullptr);
  EXPECT_NE(tenants.Find(kFirstNewName + 10 * kMaxTenants - 1), nullptr);
}

// A tenant with an attempt in flight, a request that waits or a call that is pending is not forgotten, since
// its end would be charged to nobody. Each new name finds a place all the same.
TEST(TenantTable, KeepsBusyTenantsWhenItIsFull) {
  Settings settings = SettingsWithSmallTable();
  TenantTable tenants(settings, kNowS);
  for (uint64_t busy = 1; busy <= kMaxTenants; ++busy) {
    Tenant& tenant = tenants.RecordRequest(RequestOf(busy), kNowS);
    switch (busy % 4) {
      case 0: tenant.concurrency.AttemptStarted(); break;
      case 1: tenant.waiting.push_back({}); break;
      case 2: tenant.usage_call_pending = true; break;
      case 3: tenant.concurrency_report_deferred = true; break;
    }
  }
  for (uint64_t i = 0; i < 10 * kMaxTenants; ++i) {
    EXPECT_EQ(tenants.RecordRequest(RequestOf(kFirstNewName + i), kNowS).id, kFirstNewName + i);
  }
  for (uint64_t busy = 1; busy <= kMaxTenants; ++busy) EXPECT_NE(tenants.Find(busy), nullptr) << busy;
  EXPECT_LT(tenants.size(), 2 * kMaxTenants);
}

// A client that is forgotten because many other names were admitted must not get its ceiling back, which is a
// hard limit: it fills at its rate only.
TEST(TenantTable, DoesNotRefillTheCeilingOfATenantThatItForgets) {
  Settings settings = SettingsWithSmallTable();
  settings.plans[0].ceiling_rate_units_per_s = 2;
  settings.plans[0].ceiling_burst_units = 20;
  constexpr double kStartedAtS = kNowS - 1000;  // so long ago that ceilings are full
  TenantTable tenants(settings, kStartedAtS);
  for (int i = 0; i < 20; ++i) AdmitRequestOf(kCustomer, &tenants, kNowS);
  for (uint64_t i = 0; i < 2 * kMaxTenants; ++i) AdmitRequestOf(kFirstNewName + i, &tenants, kNowS + 1);
  ASSERT_EQ(tenants.Find(kCustomer), nullptr);
  EXPECT_FALSE(tenants.RecordRequest(RequestOf(kCustomer), kNowS + 1).quota.CeilingAllows(3));
  Tenant& refilled = tenants.RecordRequest(RequestOf(kCustomer), kNowS + 3);
  refilled.quota.Refill(kNowS + 3, false);
  EXPECT_TRUE(refilled.quota.CeilingAllows(3));
}

// Idle tenants leave their place in the order of use as well.
TEST(TenantTable, RemovesIdleTenantsAndFindsRoomAfterwards) {
  constexpr double kLongAfterS = kNowS + 1000;
  Settings settings = SettingsWithSmallTable();
  TenantTable tenants(settings, kNowS);
  for (uint64_t i = 0; i < kMaxTenants; ++i) {
    tenants.RecordRequest(RequestOf(kFirstNewName + i), kNowS);
    AdmitRequestOf(kFirstNewName + kMaxTenants + i, &tenants, kNowS);
  }
  tenants.RemoveIdle(kLongAfterS);
  EXPECT_EQ(tenants.size(), 0u);
  for (uint64_t i = 0; i < 3 * kMaxTenants; ++i) AdmitRequestOf(kCustomer + i, &tenants, kLongAfterS);
  EXPECT_EQ(tenants.size(), kMaxTenants);
}

}  // namespace
}  // namespace gateway::policy
