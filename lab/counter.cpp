#include "lab/counter.h"

#include <algorithm>

#include "lab/random.h"

namespace gateway::lab {

Counter::Answer Counter::Call(double now_s, uint64_t name, double amount, double life_s) {
  ++calls_;
  if (spec_.silent) return {-1, false, 0};
  double& free_at = free_at_[SplitMix64(name) % free_at_.size()];
  double start = std::max(now_s, free_at);
  if (start - now_s > spec_.most_wait_s) {
    ++busy_;
    return {now_s, true, 0};
  }
  free_at = start + static_cast<double>(spec_.parts) / spec_.calls_per_s;
  if (now_s - swept_at_ > 1) {
    swept_at_ = now_s;
    std::erase_if(numbers_, [&](const auto& entry) { return entry.second.until < now_s; });
  }
  Number& number = numbers_[name];
  if (number.until < start) number = {0, start + std::min(life_s, 60.0)};
  number.total += amount;
  return {start + spec_.call_s, false, number.total};
}

}  // namespace gateway::lab
