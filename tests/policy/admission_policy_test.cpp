// Tests of AdmissionPolicy: the final response of a request, and invalid input.
#include "policy/admission_policy.h"

#include <gtest/gtest.h>

#include <limits>

#include "support/policy_fixture.h"

namespace gateway::policy {
namespace {

using test_support::kFirstBackendId;
using test_support::kNonIdempotentClass;
using test_support::MakeEndpoints;
using test_support::MakeLargeFleetSettings;
using test_support::MakeSettings;
using test_support::PolicyFixture;

constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinity = std::numeric_limits<double>::infinity();

// A backend does not answer, and the request may not be retried. The gateway must send exactly one final
// response, before the client's deadline, because the client does not read it later.
TEST(AdmissionPolicy, SendsOneFinalResponseBeforeTheClientDeadline) {
  PolicyFixture gateway(MakeSettings());
  const uint32_t request = gateway.SendRequest({.request_class = kNonIdempotentClass, .time_left_s = 0.2});
  const auto* timer = gateway.Find<StartTimer>();
  ASSERT_NE(timer, nullptr);
  EXPECT_LT(timer->delay_s, 0.2);
  EXPECT_GT(timer->delay_s, 0.1);
  const uint64_t tag = timer->tag;
  gateway.Advance(timer->delay_s);
  gateway.FireTimer(tag);
  ASSERT_TRUE(gateway.Failed());
  EXPECT_EQ(gateway.Find<FailRequest>()->request_id, request);
  gateway.FireTimer(tag);
  EXPECT_TRUE(gateway.actions().empty());
}

// The counter fails while a request waits for its reply. Without a decision the client would never get a
// response, and with two decisions it would get two. The gateway must forward or reject the request from what
// it knows locally.
TEST(AdmissionPolicy, WaitingRequestIsDecidedOnceIfTheCounterFails) {
  for (CallResult result : {CallResult::kTimeout, CallResult::kRejected, CallResult::kConnectFailed}) {
    PolicyFixture gateway(MakeLargeFleetSettings());
    gateway.SendRequest({.cost_units = 2, .ingress_gateways = 100});
    const auto* call = gateway.Find<CallCounter>();
    ASSERT_NE(call, nullptr);
    gateway.Advance(0.03);
    gateway.FailCounterCall(call->key, result);
    EXPECT_NE(gateway.Forwarded(), gateway.Rejected());
  }
}

// The client disconnects while its request waits for the counter. If the request were forwarded when the
// reply comes, it would use capacity and quota and might have side effects, although nobody reads the
// response.
TEST(AdmissionPolicy, WaitingRequestOfADisconnectedClientIsNotForwarded) {
  PolicyFixture gateway(MakeLargeFleetSettings());
  const uint32_t request = gateway.SendRequest({.cost_units = 2, .ingress_gateways = 100});
  const auto* call = gateway.Find<CallCounter>();
  ASSERT_NE(call, nullptr);
  const uint64_t key = call->key;
  gateway.DisconnectClient(request);
  gateway.Advance(0.004);
  gateway.ReplyFromCounter(key, 2);
  EXPECT_FALSE(gateway.Forwarded());
  EXPECT_FALSE(gateway.Rejected());
}

// A faulty counter returns totals that are negative or not finite, or replies for a key that was never
// requested, and discovery returns an empty endpoint list. Such a total must not corrupt a quota, and the
// empty list must not break the choice of a backend. Requests must be served again once the list contains a
// backend.
TEST(AdmissionPolicy, ToleratesInvalidCounterTotalsAndAnEmptyEndpointList) {
  Settings settings = MakeLargeFleetSettings();
  settings.gateway_count = 3;
  PolicyFixture gateway(settings);
  uint64_t tenant = 9;  // a new tenant for each total, since a call for the previous one may be pending
  for (double total : {-5.0, kNan, kInfinity}) {
    gateway.ReplyFromCounter(12345, total);                               // a key that was never requested
    gateway.SendRequest({.tenant = tenant++, .ingress_gateways = 1000});  // exceeds the fleet size
    const auto* call = gateway.Find<CallCounter>();
    ASSERT_NE(call, nullptr);
    gateway.Advance(6);
    gateway.ReplyFromCounter(call->key, total);
    gateway.Advance(0.001);
  }
  gateway.UpdateEndpoints(EndpointUpdateKind::kFull, {});
  gateway.SendRequest({.tenant = 77});
  EXPECT_TRUE(gateway.Rejected());
  gateway.UpdateEndpoints(EndpointUpdateKind::kFull, {{.id = kFirstBackendId}});
  EXPECT_TRUE(gateway.ServeRequest({.tenant = 78}));
}

TEST(AdmissionPolicy, InvalidRequestsAreRejected) {
  PolicyFixture gateway(MakeSettings());
  for (double cost_units : {0.0, -1.0, kNan, kInfinity}) {
    gateway.SendRequest({.cost_units = cost_units});
    EXPECT_TRUE(gateway.Rejected());
  }
  for (double time_left_s : {0.0, -1.0, kNan}) {
    gateway.SendRequest({.time_left_s = time_left_s});
    EXPECT_TRUE(gateway.Rejected());
  }
  gateway.SendRequest({.request_class = 9});
  EXPECT_TRUE(gateway.Rejected());
  PolicyFixture gateway_without_backends(MakeSettings(), {.endpoints = MakeEndpoints(0)});
  gateway_without_backends.SendRequest();
  EXPECT_TRUE(gateway_without_backends.Rejected());
}

TEST(AdmissionPolicy, EventsWithUnknownIdsAreIgnored) {
  constexpr uint32_t kUnknownId = 4711;
  PolicyFixture gateway(MakeSettings());
  gateway.ReportOutcome({.request_id = kUnknownId, .request_finished = true, .backend_id = kFirstBackendId});
  EXPECT_TRUE(gateway.actions().empty());
  gateway.DisconnectClient(kUnknownId);
  EXPECT_TRUE(gateway.actions().empty());
  gateway.FireTimer(kUnknownId);
  EXPECT_TRUE(gateway.actions().empty());
  gateway.StartResponse(kUnknownId);
  EXPECT_TRUE(gateway.actions().empty());
  gateway.ReplyFromCounter(kUnknownId, 3);
  EXPECT_TRUE(gateway.actions().empty());
}

}  // namespace
}  // namespace gateway::policy
