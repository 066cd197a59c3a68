// Tests of SlowStart, which limits the work that a backend is sent while it warms up after a start.
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

// Delivers an endpoint list update that reports a new start time of the first backend.
void RestartFirstBackend(PolicyFixture* gateway, double started_at_s) {
  gateway->UpdateEndpoints(EndpointUpdateKind::kDelta,
                           {{.id = kFirstBackendId, .started_at_s = started_at_s}});
}

// Returns the number of attempts that the last event forwarded to backends with an id of at least
// `lowest_backend_id`.
int CountAttemptsAtBackendsFrom(const PolicyFixture& gateway, uint32_t lowest_backend_id) {
  int attempts = 0;
  for (const Action& action : gateway.actions()) {
    const auto* attempt = std::get_if<ForwardAttempt>(&action);
    if (attempt != nullptr && attempt->backend_id >= lowest_backend_id) ++attempts;
  }
  return attempts;
}

// A backend that has just started is much slower than a warmed-up one and would collapse under the same load.
// Each gateway must send it no more work than its budget allows.
TEST(SlowStart, WarmingUpBackendGetsNoMoreThanItsBudget) {
  // Expected latency of a request before any response was seen: a quarter of the latency objective.
  constexpr double kExpectedWorkS = 0.15;
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  RestartFirstBackend(&gateway, 99.9);
  double forwarded_work_s = 0;
  for (int i = 0; i < 500; ++i) {
    gateway.SetTime(100 + i * 0.002);
    const bool forwarded = gateway.ServeRequest({.tenant = 100 + static_cast<uint64_t>(i)});
    forwarded_work_s += forwarded ? kExpectedWorkS : 0;
  }
  EXPECT_GT(forwarded_work_s, 0);
  // The bound is this gateway's third of the work that one core may be sent in a second, plus one request.
  EXPECT_LE(forwarded_work_s, 2 * 0.27 * 1.0 / 3 + kExpectedWorkS);
}

// One backend of a busy fleet restarts. With a budget for a single core it would stay nearly idle, while the
// other backends carry its load until it has warmed up. It must be sent its fraction of the work that a
// warmed-up backend serves.
TEST(SlowStart, WarmingUpBackendOfABusyFleetGetsItsFractionOfTheWork) {
  constexpr int kRestartStep = 300;
  constexpr int kLatencySteps = 10;  // responses take 100 ms
  PolicyFixture gateway(MakeSettings());
  std::vector<std::optional<uint32_t>> forwarded;  // by step: the request if it was forwarded
  int warming_up_forwarded = 0;
  int all_forwarded = 0;
  for (int step = 0; step < 600; ++step) {
    gateway.SetTime(100 + step * 0.01);  // 2 to 3.3 attempts are in flight at each warmed-up backend
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
  // The lower bound is more than the budget for one core allows in three seconds.
  EXPECT_GT(warming_up_forwarded, 300 * 0.01 * 0.8 / 3 * 0.3 / 0.1 + 4);
  // The upper bound is the backend's fraction of an even share of the requests.
  EXPECT_LT(warming_up_forwarded, 300 / 4.0 * 0.4);
}

// A backend refuses some connections and serves others. If it were treated as restarting, it would get the
// small budget of a backend that is warming up, and capacity would be lost. It must keep its full load while
// it answers requests.
TEST(SlowStart, BackendThatRefusesSomeConnectionsIsNotWarmingUp) {
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

// A backend process was down, and discovery did not report its restart. Under the full load of a warmed-up
// backend it would collapse immediately. Failed connections over several seconds without any response must be
// taken as a sign that it is starting.
TEST(SlowStart, UnreachableBackendWarmsUpWhenItReturns) {
  PolicyFixture gateway(MakeSettings(), {.endpoints = MakeEndpoints(1)});
  for (uint64_t tenant = 100; tenant < 112; ++tenant) {
    const uint32_t request = gateway.SendRequest({.time_left_s = 1.4, .tenant = tenant});
    if (gateway.Forwarded()) gateway.CompleteAttempt(request, CallResult::kConnectFailed);
    gateway.Advance(0.6);
  }
  EXPECT_LE(gateway.ServeOneAtATime(/*latency_s=*/0.05, /*duration_s=*/10), 60);
}

// A backend starts in a fleet of 300 gateways. Its budget at each gateway is less than one request. If each
// gateway rounded this up to one request, the backend would get 300 requests at the same time and collapse.
// Because the budget starts at a random value, only few gateways may forward a request.
TEST(SlowStart, NewBackendDoesNotGetARequestFromEachGateway) {
  Settings settings = MakeSettings();
  settings.gateway_count = 300;
  settings.counter_enabled = false;
  int forwarded = 0;
  for (uint64_t seed = 1000; seed < 1300; ++seed) {
    PolicyFixture gateway(settings, {.endpoints = {{.id = 5, .started_at_s = 99.9}}, .seed = seed});
    gateway.SetTime(100.1);
    gateway.SendRequest({.tenant = 0});
    forwarded += CountAttemptsAtBackendsFrom(gateway, 0);
  }
  EXPECT_LT(forwarded, 10);
}

constexpr uint32_t kWarmBackends = 10;
constexpr uint32_t kNewBackends = 10;
constexpr uint32_t kFirstNewBackendId = 100;

// One of 100 gateways serves 70 requests at intervals of 0.2 s, each answered after 0.1 s. Ten backends start
// before the 50th request. Returns the number of attempts that were forwarded to them.
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
    attempts += CountAttemptsAtBackendsFrom(gateway, kFirstNewBackendId);
    const bool forwarded = gateway.Forwarded();
    gateway.Advance(0.1);
    if (forwarded) gateway.CompleteAttempt(request, CallResult::kOk);
  }
  return attempts;
}

// Ten backends start in a fleet of 100 gateways and ten warmed-up backends. A gateway's budget for each new
// backend allows only one request every few seconds. If it were not used, the warmed-up backends would carry
// the whole load and the new ones would never warm up.
TEST(SlowStart, NewBackendsGetTheirFractionFromManyGateways) {
  Settings settings = MakeSettings();
  settings.gateway_count = 100;
  settings.counter_enabled = false;
  int attempts = 0;
  for (uint64_t gateway_index = 0; gateway_index < 100; ++gateway_index) {
    attempts += CountAttemptsAtNewBackends(settings, gateway_index);
  }
  // A warmed-up backend serves 50 requests per second. In 4 s, each of the ten new backends may be sent
  // between a fifth and two fifths of that rate, which is 600 requests in total. The policy uses four fifths
  // of this.
  EXPECT_GT(attempts, 300);
  EXPECT_LT(attempts, 600);
}

}  // namespace
}  // namespace gateway::policy
