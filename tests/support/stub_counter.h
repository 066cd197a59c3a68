// A counter whose replies the test chooses.
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

// Answers each call with the text that `respond(name, amount)` returns; an empty text leaves the call without
// a reply. `respond` is called on the connection's thread, for one call at a time.
class StubCounter {
 public:
  using Responder = std::function<std::string(const std::string&, double)>;
  explicit StubCounter(Responder respond)
      : respond_(std::move(respond)), server_([this](TestConnection& connection) {
          while (AnswerCall(connection)) {
          }
        }) {}
  int port() const { return server_.port(); }
  int connections() const { return server_.connections; }
  void Stop() { server_.Stop(); }
  Event calls;

 private:
  // Returns false if the connection has ended.
  bool AnswerCall(TestConnection& connection) {
    std::vector<std::string> arguments;
    if (!ReadCall(connection, &arguments)) return false;
    EXPECT_EQ(arguments.size(), 4u);
    EXPECT_LE(arguments[1].size(), 64u);
    calls.Add();
    connection.Write(respond_(arguments[1], std::atof(arguments[2].c_str())));
    return true;
  }
  // Reads a call, which is a RESP2 array of bulk strings.
  static bool ReadCall(TestConnection& connection, std::vector<std::string>* arguments) {
    std::string header;
    if (!ReadLine(connection, &header)) return false;
    for (int i = 0; i < std::atoi(header.c_str() + 1); ++i) {
      std::string size, argument;
      if (!ReadLine(connection, &size) || !ReadLine(connection, &argument)) return false;
      EXPECT_EQ(static_cast<size_t>(std::atoi(size.c_str() + 1)), argument.size());
      arguments->push_back(argument);
    }
    return true;
  }
  static bool ReadLine(TestConnection& connection, std::string* line) {
    size_t end;
    while ((end = connection.unread.find("\r\n")) == std::string::npos) {
      if (!connection.Receive()) return false;
    }
    *line = connection.unread.substr(0, end);
    connection.unread.erase(0, end + 2);
    return true;
  }
  Responder respond_;
  StubServer server_;
};

// Returns a reply that holds the text as a RESP2 bulk string.
inline std::string BulkString(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_STUB_COUNTER_H_
