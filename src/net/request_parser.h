// Validates a client's HTTP request and converts it into a request of the admission policy.
#ifndef GATEWAY_NET_REQUEST_PARSER_H_
#define GATEWAY_NET_REQUEST_PARSER_H_

#include <string_view>
#include <variant>

#include "config/gateway_config.h"
#include "net/client_server.h"
#include "net/clock.h"
#include "policy/events.h"

namespace gateway::net {

// A valid request. `client_request_id` points into the message that the request was parsed from.
struct ParsedRequest {
  policy::Request request;  // complete except for `id` and `time_left_s`, which the gateway sets
  double timeout_s = 0;     // how long the client waits, limited to the deadline of the request class
  std::string_view client_request_id;
  bool idempotent = false;
};

// The parsed request, or the status to send as the response: 405 if only the method is wrong, otherwise 400.
using RequestParseResult = std::variant<ParsedRequest, http::status>;

// Validates every value that the policy uses before the policy receives the request: an invalid request that
// names a tenant must not affect that tenant's quota. `message` must be complete and unambiguously framed.
RequestParseResult ParseClientRequest(const ClientRequest& message, const config::GatewayConfig& config);

// Returns for how long a complete request may be held back until the bytes behind it tell whether its length
// is right. Until half of its time is over, a wait only delays its response. Zero for a request that is not
// forwarded anyway.
Clock::duration MaxEndCheckTime(const ClientRequest& message, const config::GatewayConfig& config);

}  // namespace gateway::net

#endif  // GATEWAY_NET_REQUEST_PARSER_H_
