#include "net/non_blocking_log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <optional>
#include <sstream>
#include <string>

#include "support/event_loop.h"

namespace gateway::net {
namespace {

using namespace test_support;

constexpr char kResumed[] = "log_resumed log_lines_dropped=";

// A log that writes to a channel whose other end the test reads.
class LogFixture : public EventLoop {
 public:
  LogFixture(int reader, int writer) : reader_(reader), writer_(writer), descriptor_(writer) {
    fcntl(reader, F_SETFL, O_NONBLOCK);
    log.emplace(io, &descriptor_);
  }
  ~LogFixture() {
    close(reader_);
    close(writer_);
  }
  LogFixture(const LogFixture&) = delete;
  LogFixture& operator=(const LogFixture&) = delete;

  // Reads all available bytes into `text`.
  void Read() {
    char buffer[65536];
    ssize_t n;
    while ((n = read(reader_, buffer, sizeof(buffer))) > 0) text.append(buffer, static_cast<size_t>(n));
  }

  // Returns the number of lines that `text` contains or counts as dropped. Expects that each line it contains
  // is Line(N), where N is the number of lines before it, including the dropped ones.
  int CountLines() {
    std::istringstream lines(text);
    int total = 0;
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind(kResumed, 0) == 0) {
        total += std::atoi(line.c_str() + sizeof(kResumed) - 1);
      } else {
        EXPECT_EQ(line, Line(total));
        ++total;
      }
    }
    return total;
  }

  static std::string Line(int number) { return "line " + std::to_string(number) + std::string(100, 'x'); }

  std::string text;  // everything read so far
  std::optional<NonBlockingLog> log;

 private:
  const int reader_;
  const int writer_;
  LogDescriptor descriptor_;
};

struct PipeLog : LogFixture {
  explicit PipeLog(const std::array<int, 2>& ends = Open()) : LogFixture(ends[0], ends[1]) {}
  static std::array<int, 2> Open() {
    std::array<int, 2> ends{};
    EXPECT_EQ(pipe(ends.data()), 0);
    EXPECT_GT(fcntl(ends[1], F_SETPIPE_SZ, 1), 0);
    return ends;
  }
};

struct SocketLog : LogFixture {
  explicit SocketLog(const std::array<int, 2>& ends = Open()) : LogFixture(ends[0], ends[1]) {}
  static std::array<int, 2> Open() {
    std::array<int, 2> ends{};
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()), 0);
    return ends;
  }
};

// The reader pauses for so long that the channel becomes full, and then reads again. Each line must be read
// completely and in order, or be counted as dropped at its position; otherwise lines would be lost or mixed
// up without notice.
void ExpectEveryLineWrittenOrCounted(LogFixture* fixture) {
  constexpr int kLines = 20000;
  constexpr int kLinesBetweenReads = 5000;
  for (int i = 0; i < kLines; ++i) {
    if (i % kLinesBetweenReads == kLinesBetweenReads - 1) fixture->Read();
    fixture->log->Write(LogFixture::Line(i));
  }
  fixture->RunUntil([&] {
    fixture->Read();
    return !fixture->text.empty() && fixture->text.back() == '\n' && fixture->CountLines() == kLines;
  });
  EXPECT_NE(fixture->text.find(kResumed), std::string::npos);
}

TEST(NonBlockingLog, WritesOrCountsEveryLineOnAPipe) {
  PipeLog pipe;
  ExpectEveryLineWrittenOrCounted(&pipe);
}

// A socket may accept only a part of a line. The rest must be written before any other line.
TEST(NonBlockingLog, WritesOrCountsEveryLineOnASocket) {
  SocketLog socket;
  ExpectEveryLineWrittenOrCounted(&socket);
}

// The event loop may have stopped when the process exits. The destructor must then write the count of the
// dropped lines, or they would be lost without notice.
TEST(NonBlockingLog, WritesPendingOutputOnDestruction) {
  PipeLog pipe;
  for (int i = 0; i < 100; ++i) pipe.log->Write(LogFixture::Line(i));
  pipe.Read();
  pipe.log.reset();
  pipe.Read();
  EXPECT_EQ(pipe.CountLines(), 100);
}

// A value in a line may be long or contain control characters. It must not make the line longer than the
// limit or split it, as it could then forge a log line.
TEST(NonBlockingLog, BoundsTheLengthOfALineAndReplacesControlCharacters) {
  PipeLog pipe;
  pipe.log->Write(std::string(5000, 'x'));
  pipe.log->Write("a\nshutdown_started\x1b");
  pipe.Read();
  std::string truncated = std::string(NonBlockingLog::kMaxLineBytes - 4, 'x') + "...\n";
  EXPECT_EQ(pipe.text, truncated + "a shutdown_started \n");
}

}  // namespace
}  // namespace gateway::net
