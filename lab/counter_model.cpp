#include "lab/counter_model.h"

#include <algorithm>
#include <cstddef>

#include "policy/random_source.h"

namespace gateway::lab {
namespace {

constexpr double kEraseIntervalS = 1;

}  // namespace

CounterModel::CounterModel(const CounterOptions& options)
    : options_(options), shard_free_at_s_(static_cast<size_t>(options.shards), 0) {}

CounterModel::Reply CounterModel::Call(double now_s, uint64_t key, double amount, double expiry_s) {
  if (silent_) return {};
  double& shard_free_at_s = shard_free_at_s_[policy::MixBits(key) % shard_free_at_s_.size()];
  double start_s = std::max(now_s, shard_free_at_s);
  if (start_s - now_s > options_.max_queueing_s) return {ReplyStatus::kRejected, now_s, 0};
  shard_free_at_s = start_s + static_cast<double>(options_.shards) / options_.calls_per_s;

  EraseExpired(now_s);
  Entry& entry = entries_[key];
  if (entry.expires_at_s < start_s) entry = {0, start_s + std::min(expiry_s, kMaxExpiryS)};
  entry.total += amount;
  return {ReplyStatus::kCounted, start_s + options_.processing_s, entry.total};
}

void CounterModel::EraseExpired(double now_s) {
  if (now_s - last_erased_at_s_ <= kEraseIntervalS) return;
  last_erased_at_s_ = now_s;
  std::erase_if(entries_, [&](const auto& keyed) { return keyed.second.expires_at_s < now_s; });
}

}  // namespace gateway::lab
