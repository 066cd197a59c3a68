// A store of tokens that refills at a rate: the basis of quotas and ceilings.
#ifndef GATEWAY_POLICY_TOKEN_BUCKET_H_
#define GATEWAY_POLICY_TOKEN_BUCKET_H_

#include <algorithm>

namespace gateway::policy {

// One token admits one unit of cost. The caller gives rate and capacity with each refill, since both depend
// on what the other gateways use. The level may be negative: a debt that later refills pay.
class TokenBucket {
 public:
  explicit TokenBucket(double tokens = 0) : tokens_(tokens) {}

  double tokens() const { return tokens_; }

  // The rate may be negative where others use more than the quota.
  void Refill(double tokens_per_s, double elapsed_s, double capacity) {
    tokens_ = std::min(capacity, tokens_ + tokens_per_s * elapsed_s);
  }

  // Takes tokens, or gives them back where `units` is negative.
  void Charge(double units, double capacity) { tokens_ = std::min(capacity, tokens_ - units); }

  // Sets the level, where the counter tells what the fleet has used.
  void Reset(double tokens) { tokens_ = tokens; }

 private:
  double tokens_;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_TOKEN_BUCKET_H_
