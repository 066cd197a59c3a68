// The work that a backend may be sent while it warms up after its start.
#include <gtest/gtest.h>

#include <optional>
#include <vector>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::kFirstBackendId;
using test_support::MakeEndpoints;
using test_support::MakeSettings;
using test_support::PolicyFixture;

// Discovery lists a new start of the first backend.
void RestartFirstBackend(PolicyFixture* gateway, double started_s) {
  gateway->UpdateEndpoints(EndpointUpdateKind::kDelta, {{.id = kFirstBackendId, .started_at_s = started_s}});
}

// Attempts among the actions of the last event that go to a backend of this id or a higher one.
int CountAttemptsFromBackend(const PolicyFixture& gateway, uint32_t lowest_backend_id) {
  int attempts = 0;
  for (const Action& action : gateway.actions()) {
    const auto* attempt = std::get_if<ForwardAttempt>(&action);
    if (attempt != nullptr && attempt->backend_id >= lowest_backend_id) ++attempts;
  }
  return attempts;
}

// A backend that has just started is much slower than a warm one, and collapses under a warm one's load. Each
// gateway sends it no more than its budget of work.
TEST(SlowStart, WarmingUpBackendGetsABudgetOfWork) {
  // Seconds that a request takes: a quarter of the latency objective, until answers have shown more.
  constexpr double kAssumedWorkS = 0.15;
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  RestartFirstBackend(&gateway, 99.9);
  double forwarded_work_s = 0;
  for (int i = 0; i < 500; ++i) {
    gateway.SetTime(100 + i * 0.002);
    const bool forwarded = gateway.ServeRequest({.tenant = 100 + static_cast<uint64_t>(i)});
    forwarded_work_s += forwarded ? kAssumedWorkS : 0;
  }
  EXPECT_GT(forwarded_work_s, 0);
  // A third of what one core may be sent in a second, and one request.
  EXPECT_LE(forwarded_work_s, 2 * 0.27 * 1.0 / 3 + kAssumedWorkS);
}

// One backend of a busy fleet restarts. With a budget for one core only it would stay nearly idle, while the
// others have to carry its load until it is warm. It is sent its fraction of what a warm backend serves.
TEST(SlowStart, BusyFleetGivesAWarmingUpBackendItsFractionOfTheWork) {
  constexpr int kRestartStep = 300;
  constexpr int kLatencySteps = 10;  // answers take 100 ms
  PolicyFixture gateway(MakeSettings());
  std::vector<std::optional<uint32_t>> forwarded;  // the request of each step, if it was forwarded
  int warming_up_forwarded = 0;
  int all_forwarded = 0;
  for (int step = 0; step < 600; ++step) {
    gateway.SetTime(100 + step * 0.01);  // each warm backend has 2 to 3.3 attempts in flight
    if (step == kRestartStep) RestartFirstBackend(&gateway, gateway.now_s() - 0.1);
    if (step >= kLatencySteps && forwarded[step - kLatencySteps].has_value()) {
      gateway.CompleteAttempt(*forwarded[step - kLatencySteps], CallResult::kOk);
    }
    const uint32_t request = gateway.SendRequest({.tenant = 1000 + static_cast<uint64_t>(step)});
    forwarded.push_back(gateway.Forwarded() ? std::optional(request) : std::nullopt);
    if (!gateway.Forwarded() || step < kRestartStep) continue;
    ++all_forwarded;
    warming_up_forwarded += gateway.ForwardedTo() == kFirstBackendId ? 1 : 0;
  }
  EXPECT_GT(all_forwarded, 200);
  // More than the bound for one core gives in three seconds,
  EXPECT_GT(warming_up_forwarded, 300 * 0.01 * 0.8 / 3 * 0.3 / 0.1 + 4);
  // and no more than its fraction of an even part.
  EXPECT_LT(warming_up_forwarded, 300 / 4.0 * 0.4);
}

// A backend refuses some connections and serves others. Taken for one that restarts, it would get the small
// budget of a warming-up backend, and capacity would be lost. It is not, as long as it answers.
TEST(SlowStart, BackendThatRefusesSomeConnectionsIsNotTakenForWarmingUp) {
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  for (int i = 0; i < 4; ++i) {
    const uint32_t request =
        gateway.SendRequest({.time_left_s = 1.4, .tenant = 100 + static_cast<uint64_t>(i)});
    ASSERT_TRUE(gateway.Forwarded());
    gateway.CompleteAttempt(request, i % 3 == 2 ? CallResult::kOk : CallResult::kConnectFailed);
    gateway.Advance(0.6);
  }
  EXPECT_GE(gateway.ServeOneAtATime(/*latency_s=*/0.05, /*duration_s=*/10), 150);
}

// A backend's process was dead, and discovery did not list its restart. At the full load of a warm backend it
// would collapse at once. Seconds of failed connections without an answer show that it is starting.
TEST(SlowStart, BackendThatWasDeadWarmsUpWhenItReturns) {
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  for (uint64_t tenant = 100; tenant < 112; ++tenant) {
    const uint32_t request = gateway.SendRequest({.time_left_s = 1.4, .tenant = tenant});
    if (gateway.Forwarded()) gateway.CompleteAttempt(request, CallResult::kConnectFailed);
    gateway.Advance(0.6);
  }
  EXPECT_LE(gateway.ServeOneAtATime(/*latency_s=*/0.05, /*duration_s=*/10), 60);
}

// A backend starts in a fleet of three hundred gateways. Its budget at each of them is less than one request.
// If each gateway rounded that up, it would get three hundred requests at once and collapse. A random start
// of the budget lets few of the gateways forward one.
TEST(SlowStart, NewBackendIsNotSentOneRequestByEachGateway) {
  Settings settings = MakeSettings();
  settings.gateway_count = 300;
  settings.counter_enabled = false;
  int forwarded = 0;
  for (uint64_t seed = 1000; seed < 1300; ++seed) {
    PolicyFixture gateway(settings, {.endpoints = {{.id = 5, .started_at_s = 99.9}}, .seed = seed});
    gateway.SetTime(100.1);
    gateway.SendRequest({.tenant = 0});
    forwarded += CountAttemptsFromBackend(gateway, 0);
  }
  EXPECT_LT(forwarded, 10);
}

constexpr uint32_t kWarmBackends = 10;
constexpr uint32_t kNewBackends = 10;
constexpr uint32_t kFirstNewBackendId = 100;

// One gateway of a hundred serves 70 requests, one each 0.2 s, answered in 0.1 s; ten backends start before
// the 50th. Returns the attempts that it sends to these.
int CountAttemptsAtNewBackends(const Settings& settings, uint64_t gateway_index) {
  std::vector<Endpoint> warm_backends;
  for (uint32_t i = 0; i < kWarmBackends; ++i) warm_backends.push_back({.id = i});
  PolicyFixture gateway(settings, {.endpoints = warm_backends,
                                   .endpoint_update = EndpointUpdateKind::kFull,
                                   .seed = 1000 + gateway_index});
  int attempts = 0;
  for (uint32_t i = 1; i <= 70; ++i) {
    gateway.Advance(0.1);
    if (i == 50) {
      std::vector<Endpoint> new_backends;
      for (uint32_t k = 0; k < kNewBackends; ++k) {
        new_backends.push_back({.id = kFirstNewBackendId + k, .started_at_s = gateway.now_s() - 0.1});
      }
      gateway.UpdateEndpoints(EndpointUpdateKind::kDelta, new_backends);
    }
    const uint32_t request = gateway.SendRequest({.time_left_s = 1.5, .tenant = gateway_index * 1000 + i});
    attempts += CountAttemptsFromBackend(gateway, kFirstNewBackendId);
    const bool forwarded = gateway.Forwarded();
    gateway.Advance(0.1);
    if (forwarded) gateway.CompleteAttempt(request, CallResult::kOk);
  }
  return attempts;
}

// Ten backends start beside ten warm ones in a fleet of a hundred gateways. A gateway's budget for each
// allows a request every few seconds only. Were it not used, the warm backends would carry the whole load and
// the new ones would never warm up.
TEST(SlowStart, NewBackendsGetTheirFractionFromManyGateways) {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  settings.counter_enabled = false;
  int attempts = 0;
  for (uint64_t gateway_index = 0; gateway_index < 100; ++gateway_index) {
    attempts += CountAttemptsAtNewBackends(settings, gateway_index);
  }
  // A warm backend serves 50 requests a second. In 4 s, ten new ones may be sent from a fifth to two fifths
  // of that each, 600 requests together, of which the policy uses four fifths.
  EXPECT_GT(attempts, 300);
  EXPECT_LT(attempts, 600);
}

}  // namespace
}  // namespace gateway::policy
