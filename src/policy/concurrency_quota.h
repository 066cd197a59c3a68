// A tenant's cap on attempts in flight over the whole fleet.
#ifndef GATEWAY_POLICY_CONCURRENCY_QUOTA_H_
#define GATEWAY_POLICY_CONCURRENCY_QUOTA_H_

#include <algorithm>
#include <cstdint>

namespace gateway::policy {

// Rule: attempts in flight are counted as changes to one number at the counter; each gateway reports its own
// changes and reads the sum. A request is admitted where the other gateways probably leave room under the
// cap.
//
// The count starts anew with each epoch, under a name of its own, so that the attempts of a gateway that has
// crashed are forgotten.
class ConcurrencyQuota {
 public:
  static constexpr double kEpochS = 4;

  int attempts_in_flight() const { return attempts_in_flight_; }

  void AttemptStarted() { ++attempts_in_flight_; }
  void AttemptEnded() { attempts_in_flight_ = std::max(0, attempts_in_flight_ - 1); }
  // Counts a request that waits for the counter like an attempt, until it is decided.
  void Reserve() { ++attempts_in_flight_; }
  void ReleaseReservation() { --attempts_in_flight_; }

  // Probability in [0, 1] that one more attempt keeps the fleet within `cap`: the other gateways' attempts
  // are exactly those last read where the reply has just come, else Poisson distributed about a mean that
  // fades from the last reply to the mean of all. `attempt_s`: how long an attempt takes.
  double ProbabilityOfRoom(int cap, double attempt_s, double now_s) const;
  // The same where a reply may be old or missing: fades to `prior`, the share of earlier requests that were
  // within the tenant's quotas, with the reply's age. `counter_is_needed` is false where the tenant comes
  // through one gateway alone.
  double ProbabilityWithinCap(int cap, double probability_of_room, double prior, bool counter_is_needed,
                              bool counter_is_silent, double now_s) const;

  // The epoch that a report made now belongs to. Starts it where it is new.
  int64_t AdvanceEpoch(double now_s);
  // Change of the own attempts since the last report of this epoch.
  double unreported_change() const { return attempts_in_flight_ - reported_attempts_; }
  // A report of `change` may have been added, or surely was.
  void ApplyReported(int64_t epoch, double change);
  // The total that came with a report.
  void ApplyTotal(int64_t epoch, double total, double now_s);

 private:
  int attempts_in_flight_ = 0;  // of this gateway
  int64_t epoch_ = 0;
  double reported_attempts_ = 0;     // own attempts as told to the counter in this epoch
  double others_attempts_ = 0;       // the other gateways' attempts, as last read
  double others_mean_attempts_ = 0;  // mean of that
  double others_read_at_s_ = -1;     // clock of the last read; -1: none
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CONCURRENCY_QUOTA_H_
