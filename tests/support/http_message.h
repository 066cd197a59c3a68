// HTTP messages as the socket tests read and write them.
#ifndef GATEWAY_TESTS_SUPPORT_HTTP_MESSAGE_H_
#define GATEWAY_TESTS_SUPPORT_HTTP_MESSAGE_H_

#include <cctype>
#include <cstdlib>
#include <string>

namespace gateway::test_support {

// An HTTP/1.1 message with a Content-Length, as it came.
struct HttpMessage {
  std::string head;  // start line and fields, each ended by CRLF
  std::string body;
  bool complete = false;  // false: the connection ended within it

  // The value of a field, by its name in any case; empty where there is none.
  std::string Header(const std::string& name) const {
    std::string low = Low(head), want = "\r\n" + Low(name) + ": ";
    size_t at = low.find(want);
    if (at == std::string::npos) return "";
    at += want.size();
    return head.substr(at, head.find("\r\n", at) - at);
  }
  static std::string Low(std::string text) {
    for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
  }
  // Of a response; 0 for one that is not whole.
  int status() const { return complete && head.size() > 12 ? std::atoi(head.c_str() + 9) : 0; }
};

// A 200 response; `headers` are further field lines, each ended by CRLF.
inline std::string OkResponse(const std::string& body, const std::string& headers = "") {
  return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_HTTP_MESSAGE_H_
