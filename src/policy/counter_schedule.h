// Which calls to the counter service are made, what one is worth, and what happens while it is silent.
#ifndef GATEWAY_POLICY_COUNTER_SCHEDULE_H_
#define GATEWAY_POLICY_COUNTER_SCHEDULE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "policy/actions.h"
#include "policy/events.h"
#include "policy/settings.h"
#include "policy/tenant.h"

namespace gateway::policy {

// Rule: a call is made where it is due and worth its price. The price is the settings' price of a call plus a
// congestion price, which grows with each failed or slow call and shrinks with each quick one, so that all
// gateways together call as often as the counter bears.
//
// Circuit breaker: after kSilentAfterFailures failed calls in a row, of whatever tenant and kind, the counter
// counts as silent, until one call succeeds. Meanwhile quotas fall back to this gateway's part (TenantQuota),
// and the calls that are due go out one by one, far apart.
//
// A change of the attempts in flight that falls into the pause is reported when it is over, and not with the
// tenant's next request: a total that lacks the end of an attempt would keep the cap taken for seconds.
//
// Invariants: at most one call of each kind is pending for a tenant, and one for each counter key; every call
// made gets one reply.
class CounterSchedule {
 public:
  // A call that is pending.
  struct Call {
    enum class Kind { kUsage, kConcurrency };
    Kind kind = Kind::kUsage;
    uint64_t tenant_id = 0;
    int64_t period = 0;  // window of a usage call, epoch of a concurrency call
    double amount = 0;   // added to the counter's total
    double sent_at_s = 0;
  };

  // `settings` must outlive this.
  explicit CounterSchedule(const Settings& settings) : settings_(settings) {}

  bool IsSilent() const { return consecutive_failures_ >= kSilentAfterFailures; }
  // Whether the pause after the last call is over. It is none while the counter keeps up.
  bool MayCall(double now_s) const { return now_s >= next_call_at_s_; }

  // Price of learning a tenant's total: the call that asks, and at times one that corrects it.
  double LookupPrice() const;

  // Probability that a request admitted without a lookup is reported; one that is stands for those that are
  // not. Otherwise a tenant that each of many gateways sees once would take a call at each, or never be
  // reported.
  double ReportingProbability(double ingress_gateways) const;

  // Each makes the tenant's next call of its kind, if one is due. A call both reports what this gateway has
  // used and reads the total: it is due for a report that is large or old enough, and as a lookup where a
  // request waits.
  void ReportUsage(Tenant* tenant, double now_s, Actions* actions);
  void ReportConcurrency(Tenant* tenant, double now_s, Actions* actions);

  // Makes the calls of ReportConcurrency() that the pause held back, as far as it is over now. To be called
  // when the timer with kPauseOverTag fires.
  void ReportDeferred(TenantTable* tenants, double now_s, Actions* actions);

  // Tag of the timer that ReportConcurrency() starts.
  static constexpr uint64_t kPauseOverTag = 1ULL << 41;

  // Ends the pending call of this key; none where there is no such call.
  std::optional<Call> TakePending(uint64_t key);
  // Applies the reply of a call taken before to price, silence and the tenant's quotas.
  void ApplyReply(const Call& call, const CounterReply& reply, Tenant* tenant, double now_s,
                  Actions* actions);

 private:
  static constexpr int kSilentAfterFailures = 4;
  // The congestion price starts from this level, which itself counts as no price.
  static constexpr double kMinCongestion = 0.01;

  // In the unit of Settings::counter_call_price, as every price here.
  double CongestionPrice() const { return congestion_ - kMinCongestion; }
  double UnreportedShare() const;
  void DeferConcurrencyReport(Tenant* tenant, double now_s, Actions* actions);
  void StartPauseTimer(double now_s, Actions* actions);
  // False where a call of the same key is pending.
  bool StartCall(const Call& call, double expiry_s, Actions* actions);
  void UpdatePrice(const Call& call, CallResult result, double now_s, Actions* actions);
  void ApplyUsageReply(const Call& call, const CounterReply& reply, Tenant* tenant, double now_s,
                       Actions* actions);
  void LogLostState(const Tenant& tenant, double now_s, Actions* actions);

  const Settings& settings_;
  std::unordered_map<uint64_t, Call> pending_;  // by counter key
  std::deque<uint64_t> deferred_tenant_ids_;    // tenants whose change of attempts waits for the pause
  double next_call_at_s_ = 0;
  double congestion_ = kMinCongestion;
  int consecutive_failures_ = 0;
  double lost_state_logged_at_s_ = -1e9;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_COUNTER_SCHEDULE_H_
