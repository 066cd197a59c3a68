#include "policy/demand_share.h"

#include <cmath>

namespace gateway::policy {
namespace {

constexpr double kTickS = 0.1;  // the default in PAPER

}  // namespace

int64_t DemandShare::Advance(double now_s) {
  auto tick = static_cast<int64_t>(std::floor(now_s / kTickS));
  for (int64_t t = std::max(current_tick_ + 1, tick - kTicks + 1); t <= tick; ++t) At(t) = Tick();
  current_tick_ = tick;
  return tick;
}

void DemandShare::RecordDemand(BorrowingAllowance* allowance, double cost_units, double tokens,
                               double burst_units, double now_s) {
  int64_t tick = Advance(now_s);
  if (allowance->last_demand_tick_ != tick) {
    if (allowance->last_demand_tick_ >= 0 && tick - allowance->last_demand_tick_ < kTicks) {
      const Tick& last = At(allowance->last_demand_tick_);
      double own_tokens = std::max(0.0, tokens);
      double free_units = std::max(0.0, burst_units - tokens);
      if (!last.under_pressure && last.demand_units > 0 && last.served_units > own_tokens) {
        double grant = allowance->demand_units_ / last.demand_units * (last.served_units - own_tokens);
        allowance->units_ = std::min(free_units, allowance->units_ + grant);
      }
    }
    allowance->last_demand_tick_ = tick;
    allowance->demand_units_ = 0;
  }
  allowance->demand_units_ += cost_units;
  At(tick).demand_units += cost_units;
}

void DemandShare::RecordServed(double cost_units, double now_s) {
  At(Advance(now_s)).served_units += cost_units;
}

void DemandShare::RecordPressure(double now_s) { At(Advance(now_s)).under_pressure = true; }

bool DemandShare::IsUnderPressure(double now_s) {
  int64_t tick = Advance(now_s);
  return At(tick).under_pressure || At(tick + kTicks - 1).under_pressure;
}

}  // namespace gateway::policy
