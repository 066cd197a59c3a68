// Outlier detection: ejects a failing backend and lets it return on probation.
#ifndef GATEWAY_POLICY_OUTLIER_DETECTOR_H_
#define GATEWAY_POLICY_OUTLIER_DETECTOR_H_

namespace gateway::policy {

// A backend is ejected when its failure rate exceeds kEjectionThreshold, for which three consecutive
// failures are enough. The failure rate is an exponentially weighted moving average over the outcomes of its
// attempts. An ejected backend gets no attempts for a time that doubles with each ejection. Then it is on
// probation: it gets one attempt at a time. A failure ejects it again, and a success ends the probation.
//
// While more than a quarter of the ready backends are ejected, all ejections are ignored (see MayExclude),
// because the fault is then probably not in the backends. With fewer than four ready backends, ejections are
// therefore never in force. Probation is always in force.
//
// Each object holds the state of one backend.
class OutlierDetector {
 public:
  // Returns whether the ejected backends may be excluded from selection, given the numbers of ejected and of
  // all ready backends.
  static bool MayExclude(int ejected_count, int ready_count) {
    return ejected_count <= kMaxEjectedShare * ready_count;
  }

  // Returns true if this failure ejects the backend.
  bool RecordFailure(double now_s);
  // Returns true if this success ends a probation.
  bool RecordSuccess();

  bool IsEjected(double now_s) const { return ejected_until_s_ > now_s; }
  bool IsOnProbation() const { return on_probation_; }
  // Length of the last ejection in seconds, or 0 if the backend has been healthy since.
  double ejection_s() const { return ejection_s_; }
  // Factor by which EndpointSelector multiplies the cost of this backend.
  double CostFactor() const { return 1 + kFailureCostWeight * failure_rate_ * failure_rate_; }

 private:
  static constexpr double kMaxEjectedShare = 0.25;
  static constexpr double kFailureCostWeight = 10;

  double failure_rate_ = 0;
  double ejected_until_s_ = 0;
  double ejection_s_ = 0;      // length of the last ejection; 0: healthy since
  bool on_probation_ = false;  // from the ejection until the next success
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_OUTLIER_DETECTOR_H_
