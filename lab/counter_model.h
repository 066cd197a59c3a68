// The shared counter as a queueing model: totals by key on a few shards.
#ifndef GATEWAY_LAB_COUNTER_MODEL_H_
#define GATEWAY_LAB_COUNTER_MODEL_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace gateway::lab {

struct CounterOptions {
  double calls_per_s = 800;  // capacity of all shards together
  int shards = 2;
  double processing_s = 0.001;   // of a call, beside its time in the queue and on the network
  double max_queueing_s = 0.06;  // a call that would wait longer is rejected
};

// Each shard serves its calls in turn, at its part of the capacity. Not thread-safe.
class CounterModel {
 public:
  enum class ReplyStatus {
    kCounted,
    kRejected,  // the shard's queue was full: nothing was added
    kNone,      // the counter was silent: nothing was added, and no reply comes
  };
  struct Reply {
    ReplyStatus status = ReplyStatus::kNone;
    double sent_s = 0;  // when it leaves the counter; no meaning for kNone
    double total = 0;   // of the key, after the call; 0 unless counted
  };

  explicit CounterModel(const CounterOptions& options);

  // A call that reaches the counter at `now_s` and adds `amount` to `key`. A key that is new, or whose time
  // is over, starts from 0 and lives for `expiry_s`, bounded by kMaxExpiryS. `now_s` must not fall.
  Reply Call(double now_s, uint64_t key, double amount, double expiry_s);

  // A silent counter replies to nothing and counts nothing.
  void set_silent(bool silent) { silent_ = silent; }

  static constexpr double kMaxExpiryS = 60;

 private:
  struct Entry {
    double total = 0;
    double expires_s = 0;
  };

  void EraseExpired(double now_s);

  CounterOptions options_;
  bool silent_ = false;
  std::vector<double> shard_free_s_;  // when each shard has served all calls so far
  std::unordered_map<uint64_t, Entry> entries_;
  double last_erase_s_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_COUNTER_MODEL_H_
