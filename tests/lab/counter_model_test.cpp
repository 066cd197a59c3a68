#include "lab/counter_model.h"

#include <gtest/gtest.h>

namespace gateway::lab {
namespace {

TEST(CounterModel, ServesCallsInTurnAndRejectsBeyondItsQueue) {
  CounterOptions options;
  options.calls_per_s = 100;
  options.shards = 1;
  options.processing_s = 0;
  options.max_queueing_s = 0.5;
  CounterModel counter(options);
  constexpr uint64_t kKey = 7;
  constexpr double kExpiryS = 5;
  int rejected = 0;
  for (int i = 0; i < 100; ++i) {  // all at once
    CounterModel::Reply reply = counter.Call(10, kKey, 1, kExpiryS);
    if (reply.status == CounterModel::ReplyStatus::kRejected) {
      ++rejected;
      continue;
    }
    ASSERT_EQ(reply.status, CounterModel::ReplyStatus::kCounted);
    EXPECT_NEAR(reply.sent_s, 10 + i / 100.0, 1e-9);
    EXPECT_EQ(reply.total, i + 1);
  }
  EXPECT_EQ(rejected, 100 - 51);
  EXPECT_EQ(counter.Call(16, kKey, 0, kExpiryS).total, 0) << "a key starts from 0 after its expiry";
}

}  // namespace
}  // namespace gateway::lab
