#include "net/unread_bytes_grace.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace gateway::net {
namespace {

TEST(UnreadBytesGrace, WaitsUntilTheUnreadBytesHaveBeenRead) {
  UnreadBytesGrace grace;
  EXPECT_TRUE(grace.MustWait(1000, 300));
  EXPECT_TRUE(grace.MustWait(1000, 300));
  EXPECT_TRUE(grace.MustWait(1200, 100));
  EXPECT_TRUE(grace.MustWait(1200, 0)) << "the last bytes are read, and their handler has not run yet";
  EXPECT_FALSE(grace.MustWait(1300, 0));
}

TEST(UnreadBytesGrace, DoesNotWaitIfNothingIsUnread) {
  UnreadBytesGrace grace;
  EXPECT_FALSE(grace.MustWait(1000, 0));
}

// A read that began in a handler has taken the last bytes from the socket, and its own handler has not run
// yet. A time-out that went by the socket alone would discard a message that has arrived.
TEST(UnreadBytesGrace, WaitsForTheHandlerOfAReadThatHasTakenTheLastBytes) {
  constexpr auto kAhead = UnreadBytesGrace::Reading::kAhead;
  UnreadBytesGrace grace;
  EXPECT_TRUE(grace.MustWait(1000, 0, kAhead));
  EXPECT_TRUE(grace.MustWait(1064, 0, kAhead)) << "another read may have begun in that handler";
  EXPECT_FALSE(grace.MustWait(1064, 0, kAhead)) << "no handler has run since";
}

// A peer that sends as fast as it is read has unread bytes at all times. If they put off a time-out for as
// long as there are any, it never comes.
TEST(UnreadBytesGrace, EndsWhileAPeerFillsTheSocketForEver) {
  constexpr size_t kSocketBytes = 65536;
  constexpr size_t kReadBytes = 4096;
  constexpr uint64_t kMaxReadBytes = 2 << 20;
  for (size_t unread_bytes : {size_t{1}, kReadBytes, kSocketBytes}) {
    UnreadBytesGrace grace;
    uint64_t read_bytes = 5000;
    while (read_bytes < kMaxReadBytes && grace.MustWait(read_bytes, unread_bytes)) {
      read_bytes += std::min(kReadBytes, unread_bytes);
    }
    EXPECT_LT(read_bytes, kMaxReadBytes) << unread_bytes;
  }
}

// A message whose first 64 KiB, a receive window, had arrived before the process stalled.
TEST(UnreadBytesGrace, WaitsForAMessageThatIsLargerThanTheReceiveWindow) {
  constexpr size_t kWindowBytes = 65536;
  constexpr uint64_t kMessageBytes = 1000000;
  UnreadBytesGrace grace(16);
  for (uint64_t read_bytes = 0; read_bytes < kMessageBytes; read_bytes += kWindowBytes) {
    EXPECT_TRUE(grace.MustWait(read_bytes, kWindowBytes)) << read_bytes;
  }
}

TEST(UnreadBytesGrace, BeginsAnewForTheNextTimeOut) {
  UnreadBytesGrace grace;
  uint64_t read_bytes = 0;
  while (grace.MustWait(read_bytes, 1)) ++read_bytes;
  EXPECT_FALSE(grace.MustWait(read_bytes, 1));
  grace.Reset();
  EXPECT_TRUE(grace.MustWait(read_bytes, 1));
}

}  // namespace
}  // namespace gateway::net
