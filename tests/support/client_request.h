// Requests that test clients send to the gateway.
#ifndef GATEWAY_TESTS_SUPPORT_CLIENT_REQUEST_H_
#define GATEWAY_TESTS_SUPPORT_CLIENT_REQUEST_H_

#include <atomic>
#include <string>

#include "support/http_message.h"
#include "support/test_connection.h"

namespace gateway::test_support {

// Returns a valid request with a unique id. `request_class` is its path without the leading slash and may
// include a query. `spread` is the number of gateways over which the tenant's requests are spread.
// `more_fields` holds further field lines, each terminated by CRLF.
inline std::string MakeRequest(const std::string& request_class, int spread = 1, int timeout_ms = 3000,
                               const std::string& more_fields = "", const std::string& body = "") {
  static std::atomic<int> last_id{0};
  std::string id = std::to_string(1000 + ++last_id);
  std::string text = (request_class.substr(0, 5) == "quote" ? "GET /" : "POST /") + request_class +
                     " HTTP/1.1\r\nHost: app.svc\r\n";
  text += "Request-Id: " + id + "\r\nX-Tier: business\r\nCookie: client=00000000b4d65521\r\n";
  text += "Request-Timeout-Ms: " + std::to_string(timeout_ms) + "\r\n";
  text += "X-Call-Terms: units=1,spread=" + std::to_string(spread) + ",first=0\r\n";
  if (request_class == "save-scenario") text += "Idempotency-Key: k" + id + "\r\n";
  if (!body.empty()) text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  return text + more_fields + "\r\n" + body;
}

// Returns the request of MakeRequest() as a request of the tenant with this number, at most 7 digits. A test
// that sends many requests uses tenants so that none is over quota.
inline std::string ForTenant(int tenant, std::string request) {
  const std::string cookie = "client=00000000b4d65521";
  const std::string tenant_cookie = "client=00000000" + std::to_string(10000000 + tenant);
  return request.replace(request.find(cookie), cookie.size(), tenant_cookie);
}

// The gateway answers this with status 200 if it is ready.
inline constexpr char kReadinessRequest[] = "GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n";

// Sends the request and returns the response.
inline HttpMessage Exchange(TestConnection& connection, const std::string& request) {
  connection.Write(request);
  return connection.Read();
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_CLIENT_REQUEST_H_
