// Ejection of a backend that fails, and its return.
#ifndef GATEWAY_POLICY_OUTLIER_DETECTOR_H_
#define GATEWAY_POLICY_OUTLIER_DETECTOR_H_

namespace gateway::policy {

// One backend's state. Rule: a backend is ejected when its failure rate, an average that decays with each
// answer, passes kEjectionThreshold; three failures in a row do. It gets no attempt for a time that doubles
// with each ejection. After that it is on probation: one attempt at a time, whose failure ejects it again and
// whose success ends the probation.
//
// All ejections are ignored while more than a quarter of the ready backends is ejected (MayExclude): then the
// fault is likely elsewhere. So with fewer than four ready backends none is in force. Probation always is.
class OutlierDetector {
 public:
  // Whether so many ejected backends may be left out, of all that are ready.
  static bool MayExclude(int ejected, int ready) { return ejected <= kMaxEjectedShare * ready; }

  // Returns true where this failure ejects the backend.
  bool RecordFailure(double now_s);
  // Returns true where this success ends a probation.
  bool RecordSuccess();
  // The backend's process has restarted: it may be sent attempts again. A probation goes on.
  void RecordRestart() { ejected_until_s_ = failure_rate_ = 0; }

  bool IsEjected(double now_s) const { return ejected_until_s_ > now_s; }
  bool IsOnProbation() const { return on_probation_; }
  double ejection_s() const { return ejection_s_; }
  // Factor on the cost of choosing this backend.
  double CostFactor() const { return 1 + kFailureCost * failure_rate_ * failure_rate_; }

 private:
  static constexpr double kMaxEjectedShare = 0.25;
  static constexpr double kFailureCost = 10;

  double failure_rate_ = 0;
  double ejected_until_s_ = 0;
  double ejection_s_ = 0;      // length of the last ejection; 0: none lately
  bool on_probation_ = false;  // from the ejection until the next success
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_OUTLIER_DETECTOR_H_
