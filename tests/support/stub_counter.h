// The usage counter as a test wishes it.
#ifndef GATEWAY_TESTS_SUPPORT_STUB_COUNTER_H_
#define GATEWAY_TESTS_SUPPORT_STUB_COUNTER_H_

#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "support/event.h"
#include "support/stub_server.h"
#include "support/test_connection.h"

namespace gateway::test_support {

// The usage counter: answers one call after another by `answer(name, amount)`, on the connection's thread; an
// empty text answers nothing.
class StubCounter {
 public:
  using Response = std::function<std::string(const std::string&, double)>;
  explicit StubCounter(Response answer)
      : answer_(std::move(answer)), server_([this](TestConnection& connection) {
          while (AnswerCall(connection)) {
          }
        }) {}
  int port() const { return server_.port(); }
  int connections() const { return server_.connections; }
  void Stop() { server_.Stop(); }
  Event calls;

 private:
  // False at the connection's end.
  bool AnswerCall(TestConnection& connection) {
    std::vector<std::string> parts;
    if (!ReadCall(connection, &parts)) return false;
    EXPECT_EQ(parts.size(), 4u);
    EXPECT_LE(parts[1].size(), 64u);
    calls.Add();
    connection.Write(answer_(parts[1], std::atof(parts[2].c_str())));
    return true;
  }
  // A call is a RESP2 array of bulk strings.
  static bool ReadCall(TestConnection& connection, std::vector<std::string>* parts) {
    std::string first;
    if (!Line(connection, &first)) return false;
    for (int i = 0; i < std::atoi(first.c_str() + 1); ++i) {
      std::string size, part;
      if (!Line(connection, &size) || !Line(connection, &part)) return false;
      EXPECT_EQ(static_cast<size_t>(std::atoi(size.c_str() + 1)), part.size());
      parts->push_back(part);
    }
    return true;
  }
  static bool Line(TestConnection& connection, std::string* line) {
    size_t end;
    while ((end = connection.unread.find("\r\n")) == std::string::npos) {
      if (!connection.Receive()) return false;
    }
    *line = connection.unread.substr(0, end);
    connection.unread.erase(0, end + 2);
    return true;
  }
  Response answer_;
  StubServer server_;
};

// A reply with the text as a RESP2 bulk string.
inline std::string BulkString(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_STUB_COUNTER_H_
