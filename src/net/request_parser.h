// Turns a client's HTTP request into the policy's terms, and finds what is wrong with it.
#ifndef GATEWAY_NET_REQUEST_PARSER_H_
#define GATEWAY_NET_REQUEST_PARSER_H_

#include <string_view>
#include <variant>

#include "config/gateway_config.h"
#include "net/client_server.h"
#include "policy/events.h"

namespace gateway::net {

// A valid request. Its view points into the message that it was parsed from.
struct ParsedRequest {
  policy::Request request;  // all but `id` and `time_left_s`, which the gateway sets
  double timeout_s = 0;     // how long the client waits, at most the class's deadline
  std::string_view client_request_id;
  bool idempotent = false;
};

// The request, or the status to answer in its place: 405 where only the method is wrong, else 400.
using RequestParseResult = std::variant<ParsedRequest, http::status>;

// Checks everything that the policy will use before it sees any of it: an invalid request made in a tenant's
// name must not leave a trace in that tenant's quota. `message` is complete and soundly framed.
RequestParseResult ParseClientRequest(const ClientRequest& message, const config::GatewayConfig& config);

}  // namespace gateway::net

#endif  // GATEWAY_NET_REQUEST_PARSER_H_
