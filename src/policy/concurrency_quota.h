// Limit on the attempts that one tenant has in flight over all gateways.
#ifndef GATEWAY_POLICY_CONCURRENCY_QUOTA_H_
#define GATEWAY_POLICY_CONCURRENCY_QUOTA_H_

#include <algorithm>
#include <cstdint>

namespace gateway::policy {

// Rule: the counter holds the fleet's number of attempts in flight. Each gateway reports the changes of its
// own number and reads the total. A request is admitted if the other gateways probably leave room under the
// cap.
//
// Each epoch uses a new counter key and starts from zero, so that the attempts of a crashed gateway are
// dropped with its epoch.
class ConcurrencyQuota {
 public:
  static constexpr double kEpochS = 4;

  int attempts_in_flight() const { return attempts_in_flight_; }

  void AttemptStarted() { ++attempts_in_flight_; }
  void AttemptEnded() { attempts_in_flight_ = std::max(0, attempts_in_flight_ - 1); }
  // Counts a request that waits for the counter as an attempt in flight until it is decided.
  void Reserve() { ++attempts_in_flight_; }
  void ReleaseReservation() { --attempts_in_flight_; }

  // Probability in [0, 1] that one more attempt keeps the fleet within `cap`. Right after a reply, the number
  // of the other gateways' attempts is taken as exact. Later it is taken as Poisson distributed, with a mean
  // that moves from the last reply to the long-term mean. `attempt_s` is the mean duration of an attempt.
  double ProbabilityOfRoom(int cap, double attempt_s, double now_s) const;
  // The same probability if the last reply may be old or missing. With the reply's age it moves from
  // `probability_of_room` to `prior`, the share of earlier requests that were within the tenant's quotas.
  // While the counter is silent, it stays with the last reply. `counter_is_needed` is false for a tenant with
  // a single ingress gateway.
  double ProbabilityWithinCap(int cap, double probability_of_room, double prior, bool counter_is_needed,
                              bool counter_is_silent, double now_s) const;

  // Returns the epoch of a report made now, and starts that epoch if it is new.
  int64_t AdvanceEpoch(double now_s);
  // Change of this gateway's attempts since its last report in this epoch.
  double unreported_change() const { return attempts_in_flight_ - reported_attempts_; }
  // Records that a report of `change` was, or may have been, added to the total.
  void ApplyReported(int64_t epoch, double change);
  // Applies the total that was returned for a report.
  void ApplyTotal(int64_t epoch, double total, double now_s);

 private:
  int attempts_in_flight_ = 0;  // of this gateway
  int64_t epoch_ = 0;
  double reported_attempts_ = 0;     // this gateway's attempts as reported in this epoch
  double others_attempts_ = 0;       // the other gateways' attempts, from the last total
  double others_mean_attempts_ = 0;  // moving average of others_attempts_
  double others_read_at_s_ = -1;     // time of the last total; -1 if none was read
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CONCURRENCY_QUOTA_H_
