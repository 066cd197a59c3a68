// What a client is answered, and its form on the wire.
#ifndef GATEWAY_NET_CLIENT_RESPONSE_H_
#define GATEWAY_NET_CLIENT_RESPONSE_H_

#include <string>

namespace gateway::net {

struct Response {
  int status = 500;
  double retry_after_s = 0;  // 0: no Retry-After field
  std::string headers;       // further field lines, each ended by CRLF
  std::string body;
};

// Replaces `*message` by the response as an HTTP/1.1 message, with its Content-Length; its memory is used
// again. Without `keep_alive` the message says "Connection: close".
void Serialize(const Response& response, bool keep_alive, std::string* message);

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLIENT_RESPONSE_H_
