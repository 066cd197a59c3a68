#include "net/rejection_log.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace gateway::net {
namespace {

using Cause = RejectionLog::Cause;

// What the log writes.
class LogText {
 public:
  LogText() : file_(open_memstream(&text_, &size_)) {}
  ~LogText() {
    std::fclose(file_);
    std::free(text_);
  }
  LogText(const LogText&) = delete;
  LogText& operator=(const LogText&) = delete;
  std::FILE* file() { return file_; }
  std::string str() {
    std::fflush(file_);
    return {text_, size_};
  }

 private:
  char* text_ = nullptr;
  size_t size_ = 0;
  std::FILE* file_;
};

// A flood of rejections must not become a flood of lines, and none of them may be missing from the counts.
TEST(RejectionLog, WritesOneLineASecondWithEveryCount) {
  LogText text;
  RejectionLog log(text.file());
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
  LogText text;
  RejectionLog log(text.file());
  log.Count(Cause::kInvalid, "a\nshutdown_started b\x1b", {});
  EXPECT_EQ(text.str(), "requests_ended invalid=1 last_id=ashutdown_startedb\n");
}

}  // namespace
}  // namespace gateway::net
