#include "net/rejection_log.h"

#include <gtest/gtest.h>

#include "support/event_loop.h"
#include "support/recording_log.h"

namespace gateway::net {
namespace {

using namespace test_support;
using Cause = RejectionLog::Cause;

// Many requests are rejected within a short time. They must not produce as many log lines, and each of them
// must be contained in the counts of a line.
TEST(RejectionLog, WritesOneLinePerSecondWithAllCounts) {
  EventLoop loop;
  RecordingLog lines;
  RejectionLog log(loop.io, &lines);
  Clock::time_point now{};
  log.Count(Cause::kOverQuota, "a", now);
  for (int i = 0; i < 3; ++i) log.Count(Cause::kOverload, "b", now + Seconds(0.9));
  log.Count(Cause::kClientLeft, "c", now + Seconds(1));
  log.Count(Cause::kDeadline, "d", now + Seconds(1.5));
  log.Flush();
  log.Flush();
  EXPECT_EQ(lines.str(),
            "requests_ended over_quota=1 last_id=a\n"
            "requests_ended overload=3 client_left=1 last_id=c\n"
            "requests_ended deadline=1 last_id=d\n");
}

// The id of a request is chosen by the client and may contain spaces, newlines or other control characters.
// The client must not be able to forge a log line with it.
TEST(RejectionLog, OmitsCharactersThatWouldSplitTheLine) {
  EventLoop loop;
  RecordingLog lines;
  RejectionLog log(loop.io, &lines);
  log.Count(Cause::kInvalid, "a\nshutdown_started b\x1b", {});
  EXPECT_EQ(lines.str(), "requests_ended invalid=1 last_id=ashutdown_startedb\n");
}

// The rejections stop after a while. The counts of the last second must still be written, and not only with
// the next rejection, which may be hours later.
TEST(RejectionLog, WritesTheLastCountsWithinASecond) {
  EventLoop loop;
  RecordingLog lines;
  RejectionLog log(loop.io, &lines);
  Clock::time_point now = Clock::now();
  log.Count(Cause::kOverQuota, "a", now);
  log.Count(Cause::kOverload, "b", now);
  log.Count(Cause::kOverload, "c", now);
  loop.RunUntil([&] { return lines.str().find("overload=2 last_id=c\n") != std::string::npos; });
  EXPECT_GE(Clock::now(), now + Seconds(1));
  EXPECT_EQ(lines.str(), "requests_ended over_quota=1 last_id=a\nrequests_ended overload=2 last_id=c\n");
}

// The id of a request is chosen by the client and may be long. It must not make the log line arbitrarily
// long.
TEST(RejectionLog, BoundsTheLengthOfALine) {
  EventLoop loop;
  RecordingLog lines;
  RejectionLog log(loop.io, &lines);
  log.Count(Cause::kInvalid, std::string(8000, 'x'), {});
  EXPECT_EQ(lines.str(), "requests_ended invalid=1 last_id=" + std::string(64, 'x') + "\n");
}

}  // namespace
}  // namespace gateway::net
