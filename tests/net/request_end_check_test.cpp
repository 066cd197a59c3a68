#include "net/request_end_check.h"

#include <gtest/gtest.h>

#include <string>

#include "net/http_framing.h"

namespace gateway::net {
namespace {

// A request whose length is too small is followed by the rest of its body, which may begin like a method. Any
// part of a request line that is taken for another request lets a request through that is cut off.
TEST(RequestEndCheck, IsUndecidedUntilAnotherRequestLineIsWhole) {
  const std::string line = "POST /x HTTP/1.1\r\n";
  for (const std::string empty_lines : {"", "\r\n", "\r\n\r\n", "\n", "\r\n\n"}) {
    for (size_t size = 1; size < line.size(); ++size) {
      EXPECT_EQ(CheckRequestEnd(empty_lines + line.substr(0, size)), RequestEnd::kUndecided)
          << line.substr(0, size);
    }
    EXPECT_EQ(CheckRequestEnd(empty_lines + line), RequestEnd::kTrusted);
    EXPECT_EQ(CheckRequestEnd(empty_lines + line + "Host: x\r\n\r\n"), RequestEnd::kTrusted);
  }
}

TEST(RequestEndCheck, TrustsAnEndThatNothingOrEmptyLinesFollow) {
  for (const char* following : {"", "\r", "\r\n", "\r\n\r", "\r\n\r\n"}) {
    EXPECT_EQ(CheckRequestEnd(following), RequestEnd::kTrusted) << following;
  }
}

// A body may end with a line feed that its length does not count.
TEST(RequestEndCheck, IsUndecidedAboutALineFeed) {
  EXPECT_EQ(CheckRequestEnd("\n"), RequestEnd::kUndecided);
  EXPECT_EQ(CheckRequestEnd("\r\n\n"), RequestEnd::kUndecided);
}

TEST(RequestEndCheck, DoubtsAnEndThatOtherBytesFollow) {
  const std::string long_target(20000, 'x');
  std::string many_empty_lines;
  for (size_t size = 0; size <= kMaxEmptyLineBytes; size += 2) many_empty_lines += "\r\n";
  for (const std::string& following :
       {std::string("}"), std::string("7"), std::string("get / HTTP/1.1"), std::string("PU7"),
        std::string("\r\nrest"), std::string("GETS"), std::string("POST no version\r\n"),
        std::string("GET  HTTP/1.1\r\n"), std::string("GET HTTP/1.1\r\n"), std::string("GET / HTTP/2.0\r\n"),
        std::string("PUT it there HTTP/1.1\r\n"), std::string("GET /\n HTTP/1.1\r\n"), "GET /" + long_target,
        std::string(100, '\n'), many_empty_lines}) {
    EXPECT_EQ(CheckRequestEnd(following), RequestEnd::kDoubtful) << following.substr(0, 40);
  }
}

}  // namespace
}  // namespace gateway::net
