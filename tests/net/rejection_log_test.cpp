#include "net/rejection_log.h"

#include <gtest/gtest.h>

#include "support/event_loop.h"
#include "support/recording_log.h"

namespace gateway::net {
namespace {

using namespace test_support;
using Cause = RejectionLog::Cause;

// A flood of rejections must not become a flood of lines, and none of them may be missing from the counts.
TEST(RejectionLog, WritesOneLineASecondWithEveryCount) {
  EventLoop loop;
  RecordingLog text;
  RejectionLog log(loop.io, &text);
  Clock::time_point now{};
  log.Count(Cause::kOverQuota, "a", now);
  for (int i = 0; i < 3; ++i) log.Count(Cause::kOverload, "b", now + Seconds(0.9));
  log.Count(Cause::kClientLeft, "c", now + Seconds(1));
  log.Count(Cause::kDeadline, "d", now + Seconds(1.5));
  log.Flush();
  log.Flush();
  EXPECT_EQ(text.str(),
            "requests_ended over_quota=1 last_id=a\n"
            "requests_ended overload=3 client_left=1 last_id=c\n"
            "requests_ended deadline=1 last_id=d\n");
}

// A client chooses its request's id: it must not be able to write a log line of its own.
TEST(RejectionLog, LeavesOutWhatWouldBreakTheLine) {
  EventLoop loop;
  RecordingLog text;
  RejectionLog log(loop.io, &text);
  log.Count(Cause::kInvalid, "a\nshutdown_started b\x1b", {});
  EXPECT_EQ(text.str(), "requests_ended invalid=1 last_id=ashutdown_startedb\n");
}

// A flood that ends must not leave its last second untold until the next rejection, perhaps hours later.
TEST(RejectionLog, WritesTheLastCountsWithinASecond) {
  EventLoop loop;
  RecordingLog text;
  RejectionLog log(loop.io, &text);
  Clock::time_point now = Clock::now();
  log.Count(Cause::kOverQuota, "a", now);
  log.Count(Cause::kOverload, "b", now);
  log.Count(Cause::kOverload, "c", now);
  loop.RunUntil([&] { return text.str().find("overload=2 last_id=c\n") != std::string::npos; });
  EXPECT_GE(Clock::now(), now + Seconds(1));
  EXPECT_EQ(text.str(), "requests_ended over_quota=1 last_id=a\nrequests_ended overload=2 last_id=c\n");
}

// A client's text must not make a line of any length.
TEST(RejectionLog, BoundsTheLengthOfALine) {
  EventLoop loop;
  RecordingLog text;
  RejectionLog log(loop.io, &text);
  log.Count(Cause::kInvalid, std::string(8000, 'x'), {});
  EXPECT_EQ(text.str(), "requests_ended invalid=1 last_id=" + std::string(64, 'x') + "\n");
}

}  // namespace
}  // namespace gateway::net
