// Clients' requests to the gateway.
#ifndef GATEWAY_TESTS_SUPPORT_CLIENT_REQUEST_H_
#define GATEWAY_TESTS_SUPPORT_CLIENT_REQUEST_H_

#include <atomic>
#include <string>

#include "support/http_message.h"
#include "support/test_connection.h"

namespace gateway::test_support {

// A request of class `cls`, which may be followed by a query, with an id of its own. `spread`: over how many
// gateways its tenant's requests come; `more`: further field lines.
inline std::string MakeRequest(const std::string& cls, int spread = 1, int timeout_ms = 3000,
                               const std::string& more = "", const std::string& body = "") {
  static std::atomic<int> last{0};
  std::string id = std::to_string(1000 + ++last);
  std::string text =
      (cls.substr(0, 5) == "quote" ? "GET /" : "POST /") + cls + " HTTP/1.1\r\nHost: app.svc\r\n";
  text += "Request-Id: " + id + "\r\nX-Tier: business\r\nCookie: client=00000000b4d65521\r\n";
  text += "Request-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
  text += "X-Call-Terms: units=1,spread=" + std::to_string(spread) + ",first=0\r\n";
  if (cls == "save-scenario") text += "Idempotency-Key: k" + id + "\r\n";
  if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + more + "\r\n" + body;
}

// Answered by 200 where the gateway is ready.
inline constexpr char kReadinessRequest[] = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

// Sends a request and reads the response.
inline HttpMessage Exchange(TestConnection& connection, const std::string& request) {
  connection.Write(request);
  return connection.Read();
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_CLIENT_REQUEST_H_
