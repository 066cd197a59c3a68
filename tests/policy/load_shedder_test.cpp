// Tests of LoadShedder: which requests are shed, by priority weight and by the latency of the responses.
#include <gtest/gtest.h>

#include <vector>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::kIdempotencyKeyClass;
using test_support::kIdempotentClass;
using test_support::kNonIdempotentClass;
using test_support::MakeEndpoints;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// More requests arrive than the backends can handle. If requests were shed at random, a class with ten times
// the priority weight would lose as many requests as the other class. The last part of the capacity must be
// reserved for it.
TEST(LoadShedder, LastCapacityIsReservedForTheHighestPriorityWeight) {
  constexpr int kLowPriorityClass = kIdempotentClass;
  constexpr int kHighPriorityClass = kIdempotencyKeyClass;
  Settings settings = MakeSettings();
  settings.classes[kHighPriorityClass].priority_weight = 10;
  PolicyFixture gateway(settings, {.endpoints = MakeEndpoints(2)});
  uint64_t next_tenant = 100;
  int low_priority_forwarded = 0;
  int high_priority_forwarded = 0;
  for (int i = 0; i < 20; ++i) {
    gateway.SendRequest({.request_class = kLowPriorityClass, .tenant = next_tenant++});
    low_priority_forwarded += gateway.Forwarded() ? 1 : 0;
    gateway.SendRequest({.request_class = kHighPriorityClass, .tenant = next_tenant++});
    high_priority_forwarded += gateway.Forwarded() ? 1 : 0;
  }
  EXPECT_GE(high_priority_forwarded, low_priority_forwarded + 2);
  EXPECT_GT(low_priority_forwarded, 0);
}

// Sends 200 requests of new tenants one at a time, each of which takes `latency_s` if it is forwarded.
// Returns how many were forwarded.
int CountAdmittedAtLatency(double latency_s) {
  Settings settings = MakeSettings();
  settings.counter_enabled = false;
  PolicyFixture gateway(settings, {.endpoints = MakeEndpoints(100)});
  int forwarded = 0;
  for (int i = 0; i < 200; ++i) {
    const uint32_t request =
        gateway.SendRequest({.time_left_s = 1.4, .tenant = 1000 + static_cast<uint64_t>(i)});
    const bool is_forwarded = gateway.Forwarded();
    gateway.Advance(latency_s);
    if (is_forwarded) gateway.CompleteAttempt(request, CallResult::kOk);
    forwarded += is_forwarded ? 1 : 0;
  }
  return forwarded;
}

// Many gateways together overload 100 backends. A single gateway rarely has more than one attempt in flight
// at any backend, so the concurrency limits of the backends do not reduce the traffic and responses would
// stay slow. Slow responses over all backends must lower the admitted share.
TEST(LoadShedder, SlowResponsesOfAllBackendsLowerTheAdmittedShare) {
  EXPECT_EQ(CountAdmittedAtLatency(0.05), 200);
  EXPECT_LT(CountAdmittedAtLatency(0.5), 130);
}

// Sends 200 requests of new tenants, ten at a time. The responses to each ten arrive after `latency_s` and
// are read after the process was stalled for another `stall_s`. Returns how many requests were forwarded.
int CountAdmittedWithStalls(double latency_s, double stall_s) {
  constexpr int kRounds = 20;
  constexpr int kRequestsPerRound = 10;
  Settings settings = MakeSettings();
  settings.counter_enabled = false;
  PolicyFixture gateway(settings, {.endpoints = MakeEndpoints(100)});
  uint64_t next_tenant = 1000;
  int forwarded = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::vector<uint32_t> in_flight;
    for (int i = 0; i < kRequestsPerRound; ++i) {
      const uint32_t request = gateway.SendRequest({.time_left_s = 3, .tenant = next_tenant++});
      if (gateway.Forwarded()) in_flight.push_back(request);
    }
    gateway.Advance(latency_s);
    gateway.Stall(stall_s);
    for (uint32_t request : in_flight) gateway.CompleteAttempt(request, CallResult::kOk);
    forwarded += static_cast<int>(in_flight.size());
  }
  return forwarded;
}

// The process stalls while attempts are in flight, so all their responses are read late, although the
// backends are fast. If the gateway counted the stall as latency of the backends, it would reject most
// requests for seconds.
TEST(LoadShedder, ProcessStallsDoNotCountAsBackendLatency) {
  for (double stall_s : {0.15, 0.3, 0.7, 1.0})
    EXPECT_EQ(CountAdmittedWithStalls(0.05, stall_s), 200) << "stalls of " << stall_s << " s";
}

// Responses are slow because the backends are overloaded. The admitted share must fall whether or not the
// process stalls as well.
TEST(LoadShedder, SlowResponsesLowerTheAdmittedShareDespiteStalls) {
  EXPECT_LT(CountAdmittedWithStalls(0.5, 0), 130);
  EXPECT_LT(CountAdmittedWithStalls(0.5, 0.3), 130);
}

// The admitted share is low when the last responses arrive, and all new requests have little time left. With
// no attempt in flight, nothing would show that the backends have capacity again, so the gateway would reject
// requests forever. It must admit the next request if no attempt was in flight for the duration of a latency
// objective.
TEST(LoadShedder, AdmitsARequestAfterALatencyObjectiveWithoutAttempts) {
  Settings settings = MakeSettings();
  settings.counter_enabled = false;
  PolicyFixture gateway(settings, {.endpoints = MakeEndpoints(100)});
  // Sends a request that gets at most one attempt and has less time left than the first request.
  const auto send_with_less_time = [&gateway](uint64_t tenant) {
    return gateway.SendRequest({.request_class = kNonIdempotentClass, .time_left_s = 0.8, .tenant = tenant});
  };
  const uint32_t first = gateway.SendRequest({.request_class = kNonIdempotentClass, .time_left_s = 1.4});
  gateway.CompleteAttempt(first, CallResult::kOk);
  for (uint64_t i = 0; i < 400; ++i) {
    const uint32_t request = send_with_less_time(1000 + i);
    const bool is_forwarded = gateway.Forwarded();
    gateway.Advance(is_forwarded ? 0.59 : 0.02);
    if (is_forwarded) gateway.CompleteAttempt(request, CallResult::kOk);
  }
  int forwarded = 0;
  for (uint64_t i = 0; i < 16; ++i) {  // for 4 s
    gateway.Advance(0.25);
    const uint32_t request = send_with_less_time(2000 + i);
    if (!gateway.Forwarded()) continue;
    ++forwarded;
    gateway.CompleteAttempt(request, CallResult::kError);
  }
  EXPECT_GE(forwarded, 3);
}

}  // namespace
}  // namespace gateway::policy
