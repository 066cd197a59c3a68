// Distribution of spare capacity to tenants that ask for more than their quota (PAPER, eq. 11 and 12).
#ifndef GATEWAY_POLICY_DEMAND_SHARE_H_
#define GATEWAY_POLICY_DEMAND_SHARE_H_

#include <algorithm>
#include <array>
#include <cstdint>

namespace gateway::policy {

// Units beyond its quota that one tenant may still use. DemandShare grants them.
class BorrowingAllowance {
 public:
  double units() const { return units_; }

  // Removes the units that a request of `cost_units` needs beyond the tenant's own `tokens`.
  void Charge(double cost_units, double tokens) {
    units_ -= std::max(0.0, cost_units - std::max(0.0, tokens));
  }

 private:
  friend class DemandShare;
  double units_ = 0;               // granted and not yet used
  int64_t last_demand_tick_ = -1;  // last tick with a request of the tenant; -1 if none
  double demand_units_ = 0;        // units requested in that tick; V_i in the rule of DemandShare
};

// Rule: in each tick in which a tenant sends requests, it is granted V_i / sum V x (W - mu_i) units, at most
// the free space of its bucket, where
//   V_i    is the units that it requested in its last tick with requests,
//   sum V  is the units that all tenants requested in that tick,
//   mu_i   is the tokens in its own bucket,
//   W      is the capacity to share: the units that the backends served for this gateway in that tick, since
//          they can be expected to serve as many again. W is zero if the tick was under pressure, that is, if
//          a backend rejected an attempt or let it time out in its queue, this gateway rejected a request
//          within quota for lack of capacity, or a response missed its latency objective.
//
// Invariant: only the last kTicks ticks are kept. Older demand grants nothing.
class DemandShare {
 public:
  // Grants the tenant its share for its last tick with requests, unless that is the current one, then adds
  // `cost_units` to its demand.
  void RecordDemand(BorrowingAllowance* allowance, double cost_units, double tokens, double burst_units,
                    double now_s);
  void RecordServed(double cost_units, double now_s);
  void RecordPressure(double now_s);
  // Whether this tick or the previous one was under pressure. Nothing may be borrowed then.
  bool IsUnderPressure(double now_s);

 private:
  // Number of ticks kept, so that a tenant with few requests still finds its last one.
  static constexpr int kTicks = 16;

  struct Tick {
    double demand_units = 0;
    double served_units = 0;
    bool under_pressure = false;
  };

  Tick& At(int64_t tick) { return ticks_[static_cast<size_t>(tick % kTicks)]; }
  // Clears the ticks since the last call and returns the current one.
  int64_t Advance(double now_s);

  std::array<Tick, kTicks> ticks_;
  int64_t current_tick_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_DEMAND_SHARE_H_
