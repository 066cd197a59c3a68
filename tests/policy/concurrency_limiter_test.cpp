// The limit on this gateway's attempts in flight at one backend.
#include <gtest/gtest.h>

#include <vector>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::MakeEndpoints;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// Requests of fifty new tenants arrive at once; returns those that were forwarded.
std::vector<uint32_t> ForwardUpToTheLimit(PolicyFixture* gateway, uint64_t first_tenant) {
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

// A backend has a queue, and its answers come just before the latency objective. With as many attempts in
// flight as before, the queue would stay. Slow answers lower the limit, down to one attempt; fast answers
// raise it again.
TEST(ConcurrencyLimiter, SlowAnswersLowerTheLimitAndFastOnesRestoreIt) {
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  std::vector<uint32_t> in_flight = ForwardUpToTheLimit(&gateway, 1000);
  const size_t initial_limit = in_flight.size();
  for (uint64_t round = 0; round < 6; ++round) {
    gateway.Advance(0.55);
    CompleteAll(&gateway, in_flight);
    in_flight = ForwardUpToTheLimit(&gateway, 2000 + 100 * round);
  }
  EXPECT_LE(in_flight.size(), 1u);
  EXPECT_GT(initial_limit, 1u);
  for (uint64_t round = 0; round < 300; ++round) {
    gateway.Advance(0.05);
    CompleteAll(&gateway, in_flight);
    in_flight = ForwardUpToTheLimit(&gateway, 10000 + 100 * round);
  }
  EXPECT_GT(in_flight.size(), initial_limit);
}

// A backend is slow by its own work, with no queue. If its limit fell below one attempt, its capacity would
// go unused. It keeps one attempt, and one that is far beyond the latency objective gets no more than that.
TEST(ConcurrencyLimiter, SlowBackendWithoutAQueueKeepsOneAttempt) {
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  // A third of the latency objective.
  EXPECT_GE(gateway.ServeOneAtATime(/*latency_s=*/0.2, /*duration_s=*/10), 40);
  PolicyFixture slower_gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  // Far beyond the latency objective: one attempt at a time.
  EXPECT_LE(slower_gateway.ServeOneAtATime(/*latency_s=*/0.9, /*duration_s=*/10), 11);
}

}  // namespace
}  // namespace gateway::policy
