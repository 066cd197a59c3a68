// The share of spare capacity that a tenant may borrow beyond its quota (PAPER, eq. 11 and 12).
#ifndef GATEWAY_POLICY_DEMAND_SHARE_H_
#define GATEWAY_POLICY_DEMAND_SHARE_H_

#include <algorithm>
#include <array>
#include <cstdint>

namespace gateway::policy {

// One tenant's part of the rule.
class BorrowingAllowance {
 public:
  double units() const { return units_; }

  // Takes what a request of `cost_units` needs beyond the tenant's own `tokens`.
  void Charge(double cost_units, double tokens) {
    units_ -= std::max(0.0, cost_units - std::max(0.0, tokens));
  }

 private:
  friend class DemandShare;
  double units_ = 0;               // granted and not used yet
  int64_t last_demand_tick_ = -1;  // the last in which the tenant asked; -1: none
  double demand_units_ = 0;        // V_i: asked for in that tick
};

// Rule: with each tick a tenant is granted V_i / sum V x (W - mu_i), at most what its bucket has free, where
//   V_i    is what it asked for in the last tick in which it asked,
//   sum V  is what all tenants asked for in that tick,
//   mu_i   is the tokens that it has of its own,
//   W      is the capacity to share: what this gateway's backends served in that tick without pressure, since
//          they can be expected to serve as much again. It is zero where the tick saw a rejection as full, or
//          an answer past its latency objective.
//
// Invariant: only the last kTicks ticks are kept; demand older than that grants nothing.
class DemandShare {
 public:
  // Grants the tenant its share for the last tick in which it asked, then adds `cost_units` to its demand.
  void RecordDemand(BorrowingAllowance* allowance, double cost_units, double tokens, double burst_units,
                    double now_s);
  void RecordServed(double cost_units, double now_s);
  void RecordPressure(double now_s);
  // In this tick or the last. Nothing is borrowed under pressure.
  bool IsUnderPressure(double now_s);

 private:
  // Ticks kept, so that a tenant of few requests finds its last one.
  static constexpr int kTicks = 16;

  struct Tick {
    double demand_units = 0;
    double served_units = 0;
    bool under_pressure = false;
  };

  Tick& At(int64_t tick) { return ticks_[static_cast<size_t>(tick % kTicks)]; }
  // Clears the ticks between the last call and now; returns the present one.
  int64_t Advance(double now_s);

  std::array<Tick, kTicks> ticks_;
  int64_t current_tick_ = 0;
};

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_DEMAND_SHARE_H_
