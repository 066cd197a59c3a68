// The interface of the gateway's log.
#ifndef GATEWAY_NET_LOG_H_
#define GATEWAY_NET_LOG_H_

#include <string>
#include <string_view>

namespace gateway::net {

class Log {
 public:
  // Writes one line, which consists of the event name in snake_case and key=value pairs, without a newline.
  // Never blocks, and may drop the line.
  virtual void Write(std::string_view line) = 0;

 protected:
  ~Log() = default;
};

// Returns any text in quotation marks as the value of a key=value pair. Quotation marks and backslashes in
// the text are escaped.
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
