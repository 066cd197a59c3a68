// HTTP messages as the tests read and write them.
#ifndef GATEWAY_TESTS_SUPPORT_HTTP_MESSAGE_H_
#define GATEWAY_TESTS_SUPPORT_HTTP_MESSAGE_H_

#include <cctype>
#include <cstdlib>
#include <string>

namespace gateway::test_support {

// A received HTTP/1.1 message whose body length is given by Content-Length.
struct HttpMessage {
  std::string head;  // start line and field lines, each terminated by CRLF
  std::string body;
  bool complete = false;  // false if the connection ended within the message

  // Returns the value of a field, whose name is not case-sensitive, or an empty string if there is none.
  std::string Header(const std::string& name) const {
    std::string lower_head = ToLower(head), field_start = "\r\n" + ToLower(name) + ": ";
    size_t at = lower_head.find(field_start);
    if (at == std::string::npos) return "";
    at += field_start.size();
    return head.substr(at, head.find("\r\n", at) - at);
  }
  static std::string ToLower(std::string text) {
    for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
  }
  // Returns the status of a response, or 0 if the message is incomplete.
  int status() const { return complete && head.size() > 12 ? std::atoi(head.c_str() + 9) : 0; }
};

// Returns a 200 response. `headers` holds further field lines, each terminated by CRLF.
inline std::string OkResponse(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_HTTP_MESSAGE_H_
