#include "net/log_descriptor.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <string>
#include <thread>

#include "support/time_limit.h"

namespace gateway::net {
namespace {

constexpr uid_t kOtherUser = 65534;

const std::string kLine = std::string(99, 'x') + "\n";

// Both ends of a channel to which a log may be written. A reader of -1 is closed already.
struct Channel {
  Channel() = default;
  ~Channel() {
    close(reader);
    close(writer);
  }
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;
  int reader = -1;
  int writer = -1;
};

// A pipe of the minimum size.
struct Pipe : Channel {
  Pipe() {
    int ends[2];
    EXPECT_EQ(pipe(ends), 0);
    reader = ends[0];
    writer = ends[1];
    EXPECT_GT(fcntl(writer, F_SETPIPE_SZ, 1), 0);
  }
};

struct SocketPair : Channel {
  SocketPair() {
    int ends[2];
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends), 0);
    reader = ends[0];
    writer = ends[1];
  }
};

struct Terminal : Channel {
  Terminal() {
    reader = posix_openpt(O_RDWR | O_NOCTTY);
    EXPECT_EQ(grantpt(reader), 0);
    EXPECT_EQ(unlockpt(reader), 0);
    writer = open(ptsname(reader), O_RDWR | O_NOCTTY);
    EXPECT_GE(writer, 0);
  }
};

// Writes lines until the channel is full and returns the number of bytes written. The size of the channels
// limits this to a short time. A write that blocks would never return, as nothing reads the channel.
size_t FillChannel(LogDescriptor* descriptor) {
  constexpr size_t kMoreThanAnyChannelBytes = size_t{64} << 20;
  size_t written = 0;
  while (written < kMoreThanAnyChannelBytes) {
    size_t n = descriptor->Write(kLine);
    written += n;
    if (n < kLine.size()) break;
  }
  EXPECT_LT(written, kMoreThanAnyChannelBytes);
  return written;
}

// Reads once and waits until the channel has room again. A terminal takes a moment for that and does not wake
// up a poll() that waits for it, hence the polling.
void ReadAndAwaitRoom(const Channel& channel) {
  char buffer[65536];
  EXPECT_GT(read(channel.reader, buffer, sizeof(buffer)), 0);
  auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(test_support::kWaitTimeoutS);
  pollfd room{channel.writer, POLLOUT, 0};
  while (poll(&room, 1, 0) == 0 && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_NE(room.revents & POLLOUT, 0);
}

// Nothing reads the channel. A write must then return 0 instead of blocking, or a log collector that hangs
// would stop the gateway. It must not set the open file description to non-blocking either, because other
// processes may share it. Once the channel is read again, writes must succeed again.
void ExpectNeverBlocks(const Channel& channel) {
  LogDescriptor descriptor(channel.writer);
  EXPECT_GT(FillChannel(&descriptor), 0U);
  EXPECT_EQ(descriptor.Write(kLine), 0U);
  EXPECT_EQ(fcntl(channel.writer, F_GETFL) & O_NONBLOCK, 0);
  ReadAndAwaitRoom(channel);
  EXPECT_GT(descriptor.Write("a line\n"), 0U);
}

TEST(LogDescriptor, NeverBlocksOnAPipe) { ExpectNeverBlocks(Pipe()); }

TEST(LogDescriptor, NeverBlocksOnASocket) { ExpectNeverBlocks(SocketPair()); }

TEST(LogDescriptor, NeverBlocksOnATerminal) { ExpectNeverBlocks(Terminal()); }

// The pipe belongs to another user, for instance that of a supervisor. It can then not be reopened as
// non-blocking, and the gateway must fall back to another way of writing without blocking.
TEST(LogDescriptor, NeverBlocksOnAPipeOfAnotherUser) {
  Pipe pipe;
  EXPECT_EQ(fchmod(pipe.writer, 0), 0);
  uid_t user = geteuid();
  if (user == 0) {
    EXPECT_EQ(seteuid(kOtherUser), 0);
  }
  std::string path = "/proc/self/fd/" + std::to_string(pipe.writer);
  EXPECT_LT(open(path.c_str(), O_WRONLY | O_NONBLOCK), 0);
  ExpectNeverBlocks(pipe);
  if (user == 0) {
    EXPECT_EQ(seteuid(user), 0);
  }
}

// A line must be written to a pipe completely or not at all. If a part of it were written, the output of
// another process could split the line.
TEST(LogDescriptor, WritesLinesToAPipeCompletelyOrNotAtAll) {
  Pipe pipe;
  LogDescriptor descriptor(pipe.writer);
  EXPECT_EQ(FillChannel(&descriptor) % kLine.size(), 0U);
}

// A log file may have content from before the start, which must not be overwritten.
TEST(LogDescriptor, AppendsToAFile) {
  char path[] = "/tmp/log-descriptor-test-XXXXXX";
  int file = mkstemp(path);
  EXPECT_EQ(write(file, "before\n", 7), 7);
  LogDescriptor descriptor(file);
  EXPECT_EQ(descriptor.Write("a line\n"), 7U);
  char text[64];
  ssize_t size = pread(file, text, sizeof(text), 0);
  EXPECT_EQ(std::string(text, static_cast<size_t>(size)), "before\na line\n");
  close(file);
  unlink(path);
}

// If the standard error is closed, its number is assigned to the next descriptor that the process opens, for
// instance of a client connection. No log line may be written to that descriptor.
TEST(LogDescriptor, NeverWritesToADescriptorThatWasClosedAtConstruction) {
  Pipe pipe;
  int closed = dup(pipe.writer);
  close(closed);
  LogDescriptor descriptor(closed);
  EXPECT_EQ(dup2(pipe.writer, closed), closed);
  EXPECT_EQ(descriptor.Write("a line\n"), 0U);
  close(closed);
}

// The reader of the log may exit at any time. A write must then report that nothing was written.
TEST(LogDescriptor, WritesNothingAfterTheReaderHasClosed) {
  std::signal(SIGPIPE, SIG_IGN);  // as the gateway does
  Pipe pipe;
  LogDescriptor descriptor(pipe.writer);
  close(pipe.reader);
  pipe.reader = -1;
  EXPECT_EQ(descriptor.Write("a line\n"), 0U);
}

}  // namespace
}  // namespace gateway::net
