// Token bucket on which quotas and ceilings are based.
#ifndef GATEWAY_POLICY_TOKEN_BUCKET_H_
#define GATEWAY_POLICY_TOKEN_BUCKET_H_

#include <algorithm>

namespace gateway::policy {

// One token pays for one cost unit. The caller passes the rate with each refill, because it depends on the
// usage of the other gateways, and the capacity with each call. The level may be negative, and later refills
// pay off that debt.
class TokenBucket {
 public:
  explicit TokenBucket(double tokens = 0) : tokens_(tokens) {}

  double tokens() const { return tokens_; }

  // A negative rate, for other gateways that use more than the quota, drains the bucket.
  void Refill(double tokens_per_s, double elapsed_s, double capacity) {
    tokens_ = std::min(capacity, tokens_ + tokens_per_s * elapsed_s);
  }

  // Removes tokens, or returns them if `units` is negative.
  void Charge(double units, double capacity) { tokens_ = std::min(capacity, tokens_ - units); }

  // Sets the level from the fleet's usage, when a total of the counter has been read.
  void Reset(double tokens) { tokens_ = tokens; }

 private:
  double tokens_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TOKEN_BUCKET_H_
