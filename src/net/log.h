// Where the gateway's log lines go.
#ifndef GATEWAY_NET_LOG_H_
#define GATEWAY_NET_LOG_H_

#include <string>
#include <string_view>

namespace gateway::net {

class Log {
 public:
  // Adds one line: an event's name in snake_case, then key=value. `line` has no line end. Never waits, and
  // may lose the line.
  virtual void Write(std::string_view line) = 0;

 protected:
  ~Log() = default;
};

// A value of any text, in quotation marks, for a line's key=value. Marks and backslashes in it are escaped.
inline std::string QuotedLogValue(std::string_view text) {
  std::string quoted = "\"";
  for (char c : text) {
    if (c == '"' || c == '\\') quoted += '\\';
    quoted += c;
  }
  return quoted + '"';
}

}  // namespace gateway::net

#endif  // GATEWAY_NET_LOG_H_
