#include "net/client_response.h"

#include <cstddef>
#include <cstdio>

namespace gateway::net {
namespace {

// Upper bounds for all the lines that are generated in this file, and for those of one snprintf call.
constexpr size_t kMaxGeneratedBytes = 160;
constexpr size_t kMaxSnprintfBytes = 96;

// Returns the reason phrase that RFC 9110, 15 gives for a status that the gateway sends.
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
  char text[kMaxSnprintfBytes];
  int length = std::snprintf(text, sizeof(text), "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n", response.status,
                             ReasonPhrase(response.status), response.body.size());
  message->append(text, static_cast<size_t>(length));
}

void AppendRetryAfter(double retry_after_s, std::string* message) {
  char text[kMaxSnprintfBytes];
  int length = std::snprintf(text, sizeof(text), "Retry-After: %.3f\r\n", retry_after_s);
  message->append(text, static_cast<size_t>(length));
}

}  // namespace

void Serialize(const Response& response, bool keep_alive, std::string* message) {
  message->clear();
  message->reserve(response.headers.size() + response.body.size() + kMaxGeneratedBytes);
  AppendStatusAndLength(response, message);
  if (response.retry_after_s > 0) AppendRetryAfter(response.retry_after_s, message);
  message->append(response.headers);
  if (!keep_alive) message->append("Connection: close\r\n");
  message->append("\r\n").append(response.body);
}

}  // namespace gateway::net
