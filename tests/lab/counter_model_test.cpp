#include "lab/counter_model.h"

#include <gtest/gtest.h>

namespace gateway::lab {
namespace {

void ExpectCounted(const CounterModel::Reply& reply, double sent_at_s, double total) {
  EXPECT_EQ(reply.status, CounterModel::ReplyStatus::kCounted);
  EXPECT_NEAR(reply.sent_at_s, sent_at_s, 1e-9);
  EXPECT_EQ(reply.total, total);
}

TEST(CounterModel, ServesCallsInTurnAndRejectsBeyondItsQueue) {
  CounterOptions options;
  options.calls_per_s = 100;
  options.shards = 1;
  options.processing_s = 0;
  options.max_queueing_s = 0.5;
  CounterModel counter(options);
  constexpr uint64_t kKey = 7;
  constexpr double kExpiryS = 5;
  // 100 calls arrive at once. The queue of half a second holds 50 calls in addition to the one in service.
  for (int i = 0; i < 51; ++i) ExpectCounted(counter.Call(10, kKey, 1, kExpiryS), 10 + i / 100.0, i + 1);
  for (int i = 51; i < 100; ++i) {
    EXPECT_EQ(counter.Call(10, kKey, 1, kExpiryS).status, CounterModel::ReplyStatus::kRejected);
  }
  EXPECT_EQ(counter.Call(16, kKey, 0, kExpiryS).total, 0) << "an expired key must start from 0";
}

}  // namespace
}  // namespace gateway::lab
