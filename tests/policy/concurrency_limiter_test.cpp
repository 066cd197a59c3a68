// Tests of ConcurrencyLimiter, which limits the attempts of this gateway in flight at one backend.
#include <gtest/gtest.h>

#include <vector>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeEndpoints;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// Sends a request of each of 50 new tenants at the same time. Returns the ids of the forwarded requests.
std::vector<uint32_t> SendUpToTheLimit(PolicyFixture* gateway, uint64_t first_tenant) {
  std::vector<uint32_t> forwarded;
  for (uint64_t i = 0; i < 50; ++i) {
    const uint32_t request = gateway->SendRequest({.time_left_s = 1.4, .tenant = first_tenant + i});
    if (gateway->Forwarded()) forwarded.push_back(request);
  }
  return forwarded;
}

void CompleteAll(PolicyFixture* gateway, const std::vector<uint32_t>& requests) {
  for (uint32_t request : requests) gateway->CompleteAttempt(request, CallResult::kOk);
}

// A backend has a queue, so its responses arrive just before the latency objective. If the gateway kept as
// many attempts in flight, the queue would never drain. Slow responses must lower the limit to one attempt,
// and fast responses must raise it again.
TEST(ConcurrencyLimiter, SlowResponsesLowerTheLimitAndFastOnesRaiseIt) {
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  std::vector<uint32_t> in_flight = SendUpToTheLimit(&gateway, 1000);
  const size_t initial_limit = in_flight.size();
  for (uint64_t round = 0; round < 6; ++round) {
    gateway.Advance(0.55);
    CompleteAll(&gateway, in_flight);
    in_flight = SendUpToTheLimit(&gateway, 2000 + 100 * round);
  }
  EXPECT_LE(in_flight.size(), 1u);
  EXPECT_GT(initial_limit, 1u);
  for (uint64_t round = 0; round < 300; ++round) {
    gateway.Advance(0.05);
    CompleteAll(&gateway, in_flight);
    in_flight = SendUpToTheLimit(&gateway, 10000 + 100 * round);
  }
  EXPECT_GT(in_flight.size(), initial_limit);
}

// A backend is slow without having a queue. If its limit fell below one attempt, its capacity would be
// unused. The limit must stay at one attempt or more. For a backend whose latency is far above the latency
// objective, it must be exactly one.
TEST(ConcurrencyLimiter, SlowBackendWithoutAQueueKeepsOneAttempt) {
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  // This latency is a third of the latency objective.
  EXPECT_GE(gateway.ServeOneAtATime(/*latency_s=*/0.2, /*duration_s=*/10), 40);
  PolicyFixture slower_gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  // This latency is above the objective of 0.6 s, so the limit is one attempt at a time.
  EXPECT_LE(slower_gateway.ServeOneAtATime(/*latency_s=*/0.9, /*duration_s=*/10), 11);
}

}  // namespace
}  // namespace gateway::policy
