// Adaptive limit on the attempts that this gateway has in flight at one backend.
#ifndef GATEWAY_POLICY_CONCURRENCY_LIMITER_H_
#define GATEWAY_POLICY_CONCURRENCY_LIMITER_H_

namespace gateway::policy {

// The limit follows additive increase, multiplicative decrease. It is cut when the backend rejects an
// attempt, or when the mean latency of its responses, as a share of the latency objective, indicates a queue.
// It grows by at most one per response while there is no queue and the limit is being used. This keeps queues
// short regardless of their cause: overload, a slow backend, or many gateways that selected the same backend.
//
// Each object holds the state of one backend.
class ConcurrencyLimiter {
 public:
  // Mean latency, as a share of the latency objective, above which a queue is assumed. It is also the target
  // of LoadShedder.
  static constexpr double kQueueLatencyShare = 0.27;

  double limit() const { return limit_; }
  bool HasRoom(int attempts_in_flight) const { return attempts_in_flight < limit_; }

  // Records a successful response. `latency_share` is its cost-adjusted latency as a share of the latency
  // objective of its class.
  void RecordResponse(double latency_share, int attempts_in_flight, double now_s);
  // Records that the backend rejected an attempt or that an attempt timed out in its queue.
  void RecordRejection(int attempts_in_flight, double now_s) { Cut(attempts_in_flight, now_s); }

 private:
  static constexpr double kInitialLimit = 3;

  void Cut(int attempts_in_flight, double now_s);

  double limit_ = kInitialLimit;
  double last_cut_at_s_ = 0;
  double mean_latency_share_ = 0;  // exponentially weighted moving average
  double last_response_at_s_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_CONCURRENCY_LIMITER_H_
