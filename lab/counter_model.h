// Models the shared counter as a queueing system that keeps totals by key on several shards.
#ifndef GATEWAY_LAB_COUNTER_MODEL_H_
#define GATEWAY_LAB_COUNTER_MODEL_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace gateway::lab {

struct CounterOptions {
  double calls_per_s = 800;  // capacity of all shards together
  int shards = 2;
  double processing_s = 0.001;   // excludes the time in the queue and on the network
  double max_queueing_s = 0.06;  // a call that would have to queue longer is rejected
};

// Each shard serves its calls one after another and has an equal part of the capacity. Not thread-safe.
class CounterModel {
 public:
  enum class ReplyStatus {
    kCounted,
    kRejected,  // the shard's queue was full; nothing was added
    kNone,      // the counter was silent; nothing was added and no reply is sent
  };
  struct Reply {
    ReplyStatus status = ReplyStatus::kNone;
    double sent_at_s = 0;  // when the reply leaves the counter; unused for kNone
    double total = 0;      // total of the key after the call; 0 unless the call was counted
  };

  explicit CounterModel(const CounterOptions& options);

  // Handles a call that reaches the counter at `now_s` and adds `amount` to `key`. A new or expired key
  // starts from 0 and expires after `expiry_s`, at most kMaxExpiryS. `now_s` must not decrease between calls.
  Reply Call(double now_s, uint64_t key, double amount, double expiry_s);

  // A silent counter neither replies nor counts.
  void set_silent(bool silent) { silent_ = silent; }

  static constexpr double kMaxExpiryS = 60;

 private:
  struct Entry {
    double total = 0;
    double expires_at_s = 0;
  };

  void EraseExpired(double now_s);

  CounterOptions options_;
  bool silent_ = false;
  std::vector<double> shard_free_at_s_;  // when each shard will have served all its calls
  std::unordered_map<uint64_t, Entry> entries_;
  double last_erased_at_s_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_COUNTER_MODEL_H_
