// The response to a client, and its serialization as an HTTP/1.1 message.
#ifndef GATEWAY_NET_CLIENT_RESPONSE_H_
#define GATEWAY_NET_CLIENT_RESPONSE_H_

#include <string>

namespace gateway::net {

struct Response {
  int status = 500;
  double retry_after_s = 0;  // 0 means no Retry-After field
  std::string headers;       // additional field lines, each terminated by CRLF
  std::string body;
};

// Replaces the content of `*message` with the response as an HTTP/1.1 message that has a Content-Length.
// Reuses the memory of `*message`. Adds "Connection: close" unless `keep_alive` is set.
void Serialize(const Response& response, bool keep_alive, std::string* message);

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLIENT_RESPONSE_H_
