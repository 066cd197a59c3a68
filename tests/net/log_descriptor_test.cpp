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

// The two ends of a pipe of the least size, or of another channel.
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

// Writes until there is no room, which is soon: a write that waits would never return.
size_t FillUp(LogDescriptor* descriptor) {
  constexpr size_t kMoreThanAnyChannel = size_t{64} << 20;
  size_t written = 0;
  while (written < kMoreThanAnyChannel) {
    size_t n = descriptor->Write(kLine);
    written += n;
    if (n < kLine.size()) break;
  }
  EXPECT_LT(written, kMoreThanAnyChannel);
  return written;
}

// Reads, and waits until that has made room, which a terminal does a while later and without a wake-up.
void ReadUntilThereIsRoom(const Channel& channel) {
  char part[65536];
  EXPECT_GT(read(channel.reader, part, sizeof(part)), 0);
  auto end = std::chrono::steady_clock::now() + std::chrono::seconds(test_support::kWaitTimeoutS);
  pollfd room{channel.writer, POLLOUT, 0};
  while (poll(&room, 1, 0) == 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  EXPECT_NE(room.revents & POLLOUT, 0);
}

// Nobody reads: the writes must say so in place of waiting, and must not make the open file non-blocking for
// the processes that share it. When somebody reads again there is room again.
void ExpectNeverWaits(const Channel& channel) {
  LogDescriptor descriptor(channel.writer);
  EXPECT_GT(FillUp(&descriptor), 0U);
  EXPECT_EQ(descriptor.Write(kLine), 0U);
  EXPECT_EQ(fcntl(channel.writer, F_GETFL) & O_NONBLOCK, 0);
  ReadUntilThereIsRoom(channel);
  EXPECT_GT(descriptor.Write("a line\n"), 0U);
}

TEST(LogDescriptor, NeverWaitsForAPipe) { ExpectNeverWaits(Pipe()); }

TEST(LogDescriptor, NeverWaitsForASocket) { ExpectNeverWaits(SocketPair()); }

TEST(LogDescriptor, NeverWaitsForATerminal) { ExpectNeverWaits(Terminal()); }

// A supervisor under another user owns the pipe, which then cannot be opened anew.
TEST(LogDescriptor, NeverWaitsForAPipeOfAnotherUser) {
  Pipe pipe;
  EXPECT_EQ(fchmod(pipe.writer, 0), 0);
  uid_t user = geteuid();
  if (user == 0) {
    EXPECT_EQ(seteuid(kOtherUser), 0);
  }
  std::string path = "/proc/self/fd/" + std::to_string(pipe.writer);
  EXPECT_LT(open(path.c_str(), O_WRONLY | O_NONBLOCK), 0);
  ExpectNeverWaits(pipe);
  if (user == 0) {
    EXPECT_EQ(seteuid(user), 0);
  }
}

// A line goes into a pipe complete or not at all, so that it is never cut in two by another process.
TEST(LogDescriptor, WritesToAPipeAllOrNothing) {
  Pipe pipe;
  LogDescriptor descriptor(pipe.writer);
  EXPECT_EQ(FillUp(&descriptor) % kLine.size(), 0U);
}

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

// The number of a standard error that is closed is given to the next descriptor that the process opens, of a
// client's connection for instance: no line may go there.
TEST(LogDescriptor, NeverWritesToADescriptorThatWasClosed) {
  Pipe pipe;
  int closed = dup(pipe.writer);
  close(closed);
  LogDescriptor descriptor(closed);
  EXPECT_EQ(dup2(pipe.writer, closed), closed);
  EXPECT_EQ(descriptor.Write("a line\n"), 0U);
  close(closed);
}

TEST(LogDescriptor, TakesNothingWhenTheReaderHasGone) {
  std::signal(SIGPIPE, SIG_IGN);  // as the gateway does
  Pipe pipe;
  LogDescriptor descriptor(pipe.writer);
  close(pipe.reader);
  pipe.reader = -1;
  EXPECT_EQ(descriptor.Write("a line\n"), 0U);
}

}  // namespace
}  // namespace gateway::net
