// Drives one gateway's admission policy in a test: a clock that the test sets, events, and the actions that
// the last event led to.
#ifndef GATEWAY_TESTS_SUPPORT_POLICY_FIXTURE_H_
#define GATEWAY_TESTS_SUPPORT_POLICY_FIXTURE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "policy/admission_policy.h"

namespace gateway::test_support {

// Request classes of MakeSettings(), as indexes into Settings::classes. Backends of one cell share their
// memory of idempotency keys.
inline constexpr int kIdempotentClass = 0;
inline constexpr int kIdempotencyKeyClass = 1;
inline constexpr int kNonIdempotentClass = 2;

// Backends of MakeEndpoints() have consecutive ids from this one on; two of them form a cell.
inline constexpr uint32_t kFirstBackendId = 50;
inline constexpr uint32_t kBackendsPerCell = 2;

// Settings of one of three gateways. One plan, whose quota is 2 units a second with a burst of 10, so that a
// window of the counter lasts 5 s; three request classes that differ in idempotency only. The counter's
// timeout is too long for a request to wait for its reply. A test changes what it is about.
policy::Settings MakeSettings();

// MakeSettings() for one of a hundred gateways, with a timeout of the counter for which a request may wait.
policy::Settings MakeLargeFleetSettings();

// Ready backends of weight 1.
std::vector<policy::Endpoint> MakeEndpoints(int count);

struct PolicyFixtureOptions {
  std::vector<policy::Endpoint> endpoints = MakeEndpoints(4);
  // How the first endpoint list is delivered.
  policy::EndpointUpdateKind endpoint_update = policy::EndpointUpdateKind::kCached;
  double start_s = 100;
  uint64_t seed = 7;
};

struct RequestOptions {
  double cost_units = 1;
  int request_class = kIdempotentClass;
  double time_left_s = 1.0;
  uint64_t tenant = 9;
  double ingress_gateways = 1;
};

// One gateway's policy. Requests get the ids 1, 2, 3, ... in the order of their arrival.
class PolicyFixture {
 public:
  explicit PolicyFixture(const policy::Settings& settings, const PolicyFixtureOptions& options = {});

  double now_s() const { return now_s_; }
  void SetTime(double now_s) { now_s_ = now_s; }
  void Advance(double duration_s) { now_s_ += duration_s; }

  // The gateway's process stands still.
  void Stall(double duration_s);

  // Events. Each replaces actions() by the actions that it leads to.

  // A request arrives; returns its id.
  uint32_t SendRequest(const RequestOptions& request = {});
  // The latest attempt of the request ends. Throws std::out_of_range where the request was not forwarded.
  // `actual_cost_units` is what the backend measured; 0: not reported.
  void CompleteAttempt(uint32_t request_id, policy::CallResult result, double actual_cost_units = 0);
  void ReportOutcome(const policy::AttemptOutcome& outcome);
  void StartResponse(uint32_t request_id);
  void DisconnectClient(uint32_t request_id);
  void FireTimer(uint64_t tag);
  // The counter replies to a call with the key's total over all gateways, in units or in attempts in flight.
  void ReplyFromCounter(uint64_t key, double total);
  // A call to the counter ends without a total.
  void FailCounterCall(uint64_t key, policy::CallResult result);
  void UpdateEndpoints(policy::EndpointUpdateKind kind, const std::vector<policy::Endpoint>& endpoints);

  // Actions of the last event. Pointers into them are valid until the next event.

  const policy::Actions& actions() const { return actions_; }
  // The first action of this type, or null.
  template <typename ActionType>
  const ActionType* Find() const {
    for (const policy::Action& action : actions_) {
      if (const auto* found = std::get_if<ActionType>(&action)) return found;
    }
    return nullptr;
  }
  bool Forwarded() const { return Find<policy::ForwardAttempt>() != nullptr; }
  bool Rejected() const { return Find<policy::RejectRequest>() != nullptr; }
  bool Failed() const { return Find<policy::FailRequest>() != nullptr; }
  // The backend that the first forwarded attempt goes to, if there is one.
  std::optional<uint32_t> ForwardedTo() const;

  // Sequences of events.

  // A request arrives, and its attempt succeeds at once; false if it was not forwarded on arrival. Calls to
  // the counter on arrival are recorded in counter_calls().
  bool ServeRequest(const RequestOptions& request = {}, double actual_cost_units = 0);
  // Serves requests that differ in nothing; returns the number that was forwarded.
  int ServeRequests(int count, const RequestOptions& request = {});
  // Serves requests of new tenants one after another, each of which takes `latency_s` and succeeds, and goes
  // on 10 ms after one that was not forwarded. Returns the number that was forwarded.
  int ServeOneAtATime(double latency_s, double duration_s);

  // Calls to the counter that ServeRequest() has led to, oldest first.
  const std::vector<policy::CallCounter>& counter_calls() const { return counter_calls_; }
  // Throws std::out_of_range where there is none.
  const policy::CallCounter& LastCounterCall() const { return counter_calls_.at(counter_calls_.size() - 1); }
  // Returns the recorded calls and forgets them.
  std::vector<policy::CallCounter> TakeCounterCalls();

 private:
  // Lets the policy handle one event, and records its actions.
  void Deliver(const std::function<void(policy::Actions*)>& event);

  double now_s_;
  uint32_t last_request_id_ = 0;
  policy::Actions actions_;
  std::map<uint32_t, std::vector<uint32_t>> attempts_;  // backend of each attempt, by request
  std::vector<policy::CallCounter> counter_calls_;
  policy::AdmissionPolicy policy_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_POLICY_FIXTURE_H_
