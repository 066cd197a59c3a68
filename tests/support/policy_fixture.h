// Test fixture for AdmissionPolicy. It drives the policy of one gateway with a clock that the test sets,
// delivers events to it and records the actions that it returns.
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

// Request classes of MakeSettings(), as indexes into Settings::classes. The idempotency keys of
// kIdempotencyKeyClass are known to all backends of one cell.
inline constexpr int kIdempotentClass = 0;
inline constexpr int kIdempotencyKeyClass = 1;
inline constexpr int kNonIdempotentClass = 2;

// MakeEndpoints() numbers the backends consecutively, starting with this id. Each cell has two backends.
inline constexpr uint32_t kFirstBackendId = 50;
inline constexpr uint32_t kBackendsPerCell = 2;

// Returns the settings of one gateway in a fleet of three. There is one plan, with a rate quota of 2 units
// per second and a burst of 10 units, so a counter window lasts 5 s. The three request classes differ only in
// their idempotency settings. The counter timeout is too long for a request to wait for the counter. A test
// overrides the settings that it is about.
policy::Settings MakeSettings();

// Returns MakeSettings() changed for a fleet of 100 gateways, with a counter timeout that is short enough for
// a request to wait for the counter.
policy::Settings MakeLargeFleetSettings();

// Returns `count` ready backends of weight 1.
std::vector<policy::Endpoint> MakeEndpoints(int count);

struct PolicyFixtureOptions {
  std::vector<policy::Endpoint> endpoints = MakeEndpoints(4);
  // Kind of the update that delivers `endpoints`.
  policy::EndpointUpdateKind endpoint_update = policy::EndpointUpdateKind::kCached;
  double started_at_s = 100;
  uint64_t seed = 7;
};

struct RequestOptions {
  double cost_units = 1;
  int request_class = kIdempotentClass;
  double time_left_s = 1.0;
  uint64_t tenant = 9;
  double ingress_gateways = 1;
};

// Runs the policy of one gateway. Requests get the ids 1, 2, 3, ... in the order in which they are sent.
class PolicyFixture {
 public:
  explicit PolicyFixture(const policy::Settings& settings, const PolicyFixtureOptions& options = {});

  double now_s() const { return now_s_; }
  void SetTime(double now_s) { now_s_ = now_s; }
  void Advance(double duration_s) { now_s_ += duration_s; }

  // Advances the clock by a time in which the gateway process was stalled, and reports the stall to the
  // policy.
  void Stall(double duration_s);

  // The following methods deliver events. Each event replaces actions() with the actions that it caused.

  // Delivers a request of a client and returns its id.
  uint32_t SendRequest(const RequestOptions& request = {});
  // Ends the latest attempt of the request. Throws std::out_of_range if the request was never forwarded.
  // `actual_cost_units` is the cost that the backend measured, or 0 if it reported none.
  void CompleteAttempt(uint32_t request_id, policy::CallResult result, double actual_cost_units = 0);
  void ReportOutcome(const policy::AttemptOutcome& outcome);
  void StartResponse(uint32_t request_id);
  void DisconnectClient(uint32_t request_id);
  void FireTimer(uint64_t tag);
  // Delivers the counter's reply to a call. `total` is the total of the key over all gateways, in cost units
  // or in attempts in flight.
  void ReplyFromCounter(uint64_t key, double total);
  // Ends a counter call that returned no total.
  void FailCounterCall(uint64_t key, policy::CallResult result);
  void UpdateEndpoints(policy::EndpointUpdateKind kind, const std::vector<policy::Endpoint>& endpoints);

  // The following methods return the actions of the last event. Pointers to actions are valid until the next
  // event.

  const policy::Actions& actions() const { return actions_; }
  // Returns the first action of this type, or null if there is none.
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
  // Returns the backend of the first forwarded attempt, or nullopt if no attempt was forwarded.
  std::optional<uint32_t> ForwardedTo() const;

  // The following methods deliver sequences of events.

  // Delivers a request and lets its attempt succeed immediately. Returns false if the request was not
  // forwarded on arrival. A counter call made on arrival is added to counter_calls().
  bool ServeRequest(const RequestOptions& request = {}, double actual_cost_units = 0);
  // Serves `count` identical requests and returns how many of them were forwarded.
  int ServeRequests(int count, const RequestOptions& request = {});
  // For `duration_s`, serves requests of new tenants one at a time. Each forwarded request succeeds after
  // `latency_s`. After a request that was not forwarded, the next one follows 10 ms later. Returns the number
  // of forwarded requests.
  int ServeOneAtATime(double latency_s, double duration_s);

  // Counter calls caused by ServeRequest(), oldest first.
  const std::vector<policy::CallCounter>& counter_calls() const { return counter_calls_; }
  // Throws std::out_of_range if no call was recorded.
  const policy::CallCounter& LastCounterCall() const { return counter_calls_.at(counter_calls_.size() - 1); }
  // Returns the recorded calls and clears the record.
  std::vector<policy::CallCounter> TakeCounterCalls();

 private:
  // Lets the policy handle one event and records its actions.
  void Deliver(const std::function<void(policy::Actions*)>& event);

  double now_s_;
  uint32_t last_request_id_ = 0;
  policy::Actions actions_;
  std::map<uint32_t, std::vector<uint32_t>> attempts_;  // backend of each attempt, by request id
  std::vector<policy::CallCounter> counter_calls_;
  policy::AdmissionPolicy policy_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_POLICY_FIXTURE_H_
