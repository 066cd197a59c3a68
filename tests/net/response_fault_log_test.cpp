#include "net/response_fault_log.h"

#include <gtest/gtest.h>

#include "support/event_loop.h"
#include "support/recording_log.h"

namespace gateway::net {
namespace {

using namespace test_support;

// Attempts that got a usable response, or none, are not counted. Each fault has to appear under its own key,
// or an operator would look for the cause in the wrong place.
TEST(ResponseFaultLog, CountsEachFaultUnderItsKey) {
  EventLoop loop;
  RecordingLog lines;
  ResponseFaultLog log(loop.io, &lines);
  Clock::time_point now{};
  log.Count(ResponseFault::kNone, 1, now);
  log.Count(ResponseFault::kMalformed, 2, now);
  log.Count(ResponseFault::kTruncated, 3, now);
  log.Count(ResponseFault::kEndInDoubt, 4, now);
  log.Count(ResponseFault::kEndInDoubt, 4294967295, now);
  log.Flush();
  EXPECT_EQ(lines.str(),
            "responses_unusable malformed=1 last_backend=2\n"
            "responses_unusable truncated=1 end_in_doubt=2 last_backend=4294967295\n");
}

}  // namespace
}  // namespace gateway::net
