// The limit on this gateway's attempts in flight at one backend.
#ifndef GATEWAY_POLICY_CONCURRENCY_LIMITER_H_
#define GATEWAY_POLICY_CONCURRENCY_LIMITER_H_

namespace gateway::policy {

// One backend's state. Rule (additive increase, multiplicative decrease): the limit is cut where the mean
// latency of the backend's answers, over the latency objective, shows a queue, or where the backend rejects;
// it grows by at most one an answer while there is none and the limit is used. This keeps queues short
// whatever made them: overload, a slow backend, or many gateways that chose the same one.
class ConcurrencyLimiter {
 public:
  // Mean answer latency over the objective at which a queue is assumed; the target of LoadShedder too.
  static constexpr double kQueueLatencyShare = 0.27;

  double limit() const { return limit_; }
  bool HasRoom(int attempts_in_flight) const { return attempts_in_flight < limit_; }

  // An answer came. `latency_share`: its latency, cost-adjusted, over its class's latency objective.
  void RecordResponse(double latency_share, int attempts_in_flight, double now_s);
  // The backend rejected an attempt, or one timed out in its queue.
  void RecordRejection(int attempts_in_flight, double now_s) { Cut(attempts_in_flight, now_s); }

 private:
  static constexpr double kInitialLimit = 3;

  void Cut(int attempts_in_flight, double now_s);

  double limit_ = kInitialLimit;
  double cut_s_ = 0;               // clock of the last cut
  double mean_latency_share_ = 0;  // decays with each answer
  double response_s_ = 0;          // clock of the last answer
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CONCURRENCY_LIMITER_H_
