// Schedules the calls to the counter service, sets their price and handles a silent counter.
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

// Rule: a call is made if it is due and worth its price. The price is the price of a call in the settings
// plus a congestion price, which rises with each failed or slow call and falls with each quick one, so that
// all gateways together make as many calls as the counter can handle.
//
// Circuit breaker: after kSilentAfterFailures consecutive failed calls, of any tenant and kind, the counter
// is considered silent until one call succeeds. Meanwhile each quota falls back to this gateway's part of it
// (TenantQuota), and calls that are due are made one at a time with long pauses.
//
// A change of the attempts in flight that occurs during a pause is reported when the pause is over, not with
// the tenant's next request. Otherwise a total that misses the end of an attempt would keep the cap occupied
// for seconds.
//
// Invariants: at most one call of each kind is pending for a tenant, and at most one for each counter key.
// Every call gets exactly one reply.
class CounterSchedule {
 public:
  // A pending call to the counter.
  struct Call {
    enum class Kind { kUsage, kConcurrency };
    Kind kind = Kind::kUsage;
    uint64_t tenant_id = 0;
    int64_t period = 0;  // window of a usage call or epoch of a concurrency call
    double amount = 0;   // added to the counter's total
    double sent_at_s = 0;
  };

  // `settings` must outlive this object.
  explicit CounterSchedule(const Settings& settings) : settings_(settings) {}

  bool IsSilent() const { return consecutive_failures_ >= kSilentAfterFailures; }
  // Whether the pause after the last call is over. There is no pause while the counter keeps up.
  bool MayCall(double now_s) const { return now_s >= next_call_at_s_; }

  // Price of reading a tenant's total. It covers the call itself and the occasional second call that corrects
  // it.
  double LookupPrice() const;

  // Probability that a request admitted without a lookup is reported. Each reported request stands for the
  // unreported ones as well. Without sampling, a tenant that each of many gateways sees only once would need
  // a call from each of them, or would never be reported.
  double ReportingProbability(double ingress_gateways) const;

  // These two make the tenant's next call of their kind, if one is due. A call reports the usage or the
  // concurrency of this gateway and reads the total. Both kinds are due when a request waits for the total. A
  // usage call is also due when the report is large or old enough or the usage of the other gateways is
  // unknown, and a concurrency call as soon as the number of attempts has changed.
  void ReportUsage(Tenant* tenant, double now_s, Actions* actions);
  void ReportConcurrency(Tenant* tenant, double now_s, Actions* actions);

  // Makes the calls that ReportConcurrency() deferred, until one of them starts a new pause. Call this when
  // the timer with kPauseOverTag fires.
  void ReportDeferred(TenantTable* tenants, double now_s, Actions* actions);

  // Tag of the timer that ends a pause. Timers with this tag are started here.
  static constexpr uint64_t kPauseOverTag = 1ULL << 41;

  // Removes and returns the pending call of this key, if there is one.
  std::optional<Call> TakePending(uint64_t key);
  // Updates the price, the silent state and the tenant's quotas from the reply to `call`, which TakePending()
  // returned.
  void ApplyReply(const Call& call, const CounterReply& reply, Tenant* tenant, double now_s,
                  Actions* actions);

 private:
  static constexpr int kSilentAfterFailures = 4;
  // Lowest and initial congestion level, at which the congestion price is zero.
  static constexpr double kMinCongestion = 0.01;

  // All prices of this class have the unit of Settings::counter_call_price.
  double CongestionPrice() const { return congestion_ - kMinCongestion; }
  double UnreportedShare() const;
  void DeferConcurrencyReport(Tenant* tenant, double now_s, Actions* actions);
  void StartPauseTimer(double now_s, Actions* actions);
  // Returns false if a call of the same key is pending.
  bool StartCall(const Call& call, double expiry_s, Actions* actions);
  void UpdatePrice(const Call& call, CallResult result, double now_s, Actions* actions);
  void ApplyUsageReply(const Call& call, const CounterReply& reply, Tenant* tenant, double now_s,
                       Actions* actions);
  void LogLostState(const Tenant& tenant, double now_s, Actions* actions);

  const Settings& settings_;
  std::unordered_map<uint64_t, Call> pending_;  // by counter key
  std::deque<uint64_t> deferred_tenant_ids_;    // tenants with a deferred concurrency report
  double next_call_at_s_ = 0;
  double congestion_ = kMinCongestion;
  int consecutive_failures_ = 0;
  double lost_state_logged_at_s_ = -1e9;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_COUNTER_SCHEDULE_H_
