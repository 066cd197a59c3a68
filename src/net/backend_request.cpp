#include "net/backend_request.h"

#include <algorithm>
#include <cmath>

#include "net/http_field_names.h"

namespace gateway::net {
namespace {

constexpr size_t kTypicalHeadBytes = 512;
constexpr size_t kMaxTimeoutFieldBytes = 48;  // includes the empty line that ends the head
constexpr char kDefaultHostField[] = "Host: app.svc\r\n";

}  // namespace

std::string BuildBackendRequestHead(const ClientRequest& message) {
  std::string head;
  head.reserve(kTypicalHeadBytes);
  head.append(ToStringView(message.method_string())).append(" ").append(ToStringView(message.target()));
  head.append(" HTTP/1.1\r\n");
  AppendEndToEnd(message, &head, [](const auto& field) {
    return boost::beast::iequals(field.name_string(), kTimeoutMsField);
  });
  if (message.find(http::field::host) == message.end()) head += kDefaultHostField;
  if (!message.body().empty() || message.method() == http::verb::post) {
    head += "Content-Length: " + std::to_string(message.body().size()) + "\r\n";
  }
  return head;
}

std::string BuildBackendRequest(const InFlightRequest& request, double time_left_s) {
  long timeout_ms = std::max(1L, std::lround(time_left_s * 1000));
  std::string message;
  message.reserve(request.head.size() + request.body.size() + kMaxTimeoutFieldBytes);
  message.append(request.head).append(kTimeoutMsField).append(": ");
  message.append(std::to_string(timeout_ms)).append("\r\n\r\n");
  message.append(request.body);
  return message;
}

}  // namespace gateway::net
