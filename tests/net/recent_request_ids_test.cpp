#include "net/recent_request_ids.h"

#include <gtest/gtest.h>

#include <string>

namespace gateway::net {
namespace {

// The memory for ids is bounded by time and by number. The ids that are forgotten are the oldest.
TEST(RecentRequestIds, RemembersAnIdForItsTimeAndTheLastOfMany) {
  constexpr size_t kRequests = 3 * RecentRequestIds::kMaxIds;
  const auto start = Clock::now();
  RecentRequestIds ids;
  ids.Remember("first", start);
  EXPECT_TRUE(ids.Contains("first", start + Seconds(RecentRequestIds::kRememberedS - 0.1)));
  EXPECT_FALSE(ids.Contains("other", start));
  EXPECT_FALSE(ids.Contains("first", start + Seconds(RecentRequestIds::kRememberedS)));
  for (size_t i = 0; i < kRequests; ++i) {
    ids.Remember("id-of-a-request-" + std::to_string(i), start + Seconds(RecentRequestIds::kRememberedS));
  }
  size_t remembered = 0;
  for (size_t i = 0; i < kRequests; ++i) {
    bool contained =
        ids.Contains("id-of-a-request-" + std::to_string(i), start + Seconds(RecentRequestIds::kRememberedS));
    EXPECT_EQ(contained, i >= kRequests - RecentRequestIds::kMaxIds) << i;
    remembered += contained;
  }
  EXPECT_EQ(remembered, RecentRequestIds::kMaxIds);
}

}  // namespace
}  // namespace gateway::net
