#include "net/client_response.h"

#include <cstddef>
#include <cstdio>

namespace gateway::net {
namespace {

// Enough for the lines that are written here, and for the longest call that writes some of them.
constexpr size_t kOwnLinesBytes = 160;
constexpr size_t kMaxOwnLineBytes = 96;

// RFC 9110, 15.
const char* ReasonPhrase(int status) {
  switch (status) {
    case 200: return "OK";
    case 400: return "Bad Request";
    case 404: return "Not Found";
    case 405: return "Method Not Allowed";
    case 413: return "Payload Too Large";
    case 429: return "Too Many Requests";
    case 431: return "Request Header Fields Too Large";
    case 502: return "Bad Gateway";
    case 503: return "Service Unavailable";
    case 504: return "Gateway Timeout";
    default: return "Error";
  }
}

void AppendStatusAndLength(const Response& response, std::string* message) {
  char text[kMaxOwnLineBytes];
  int length = std::snprintf(text, sizeof(text), "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", response.status,
                             ReasonPhrase(response.status), response.body.size());
  message->append(text, static_cast<size_t>(length));
}

void AppendRetryAfter(double retry_after_s, std::string* message) {
  char text[kMaxOwnLineBytes];
  int length = std::snprintf(text, sizeof(text), "Retry-After: %.3f\r\n", retry_after_s);
  message->append(text, static_cast<size_t>(length));
}

}  // namespace

void Serialize(const Response& response, bool keep_alive, std::string* message) {
  message->clear();
  message->reserve(response.headers.size() + response.body.size() + kOwnLinesBytes);
  AppendStatusAndLength(response, message);
  if (response.retry_after_s > 0) AppendRetryAfter(response.retry_after_s, message);
  message->append(response.headers);
  if (!keep_alive) message->append("Connection: close\r\n");
  message->append("\r\n").append(response.body);
}

}  // namespace gateway::net
