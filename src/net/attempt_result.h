// The result of one attempt at a backend, and its derivation from an HTTP response.
#ifndef GATEWAY_NET_ATTEMPT_RESULT_H_
#define GATEWAY_NET_ATTEMPT_RESULT_H_

#include <string>

#include "net/http_headers.h"
#include "policy/events.h"

namespace gateway::net {

// Why a response of a backend could not be used.
enum class ResponseFault {
  kNone,        // it could be used, or none was received
  kMalformed,   // it is not HTTP, or exceeds a limit
  kTruncated,   // the connection ended within it, or was reset before its end
  kEndInDoubt,  // bytes follow it that may belong to its body (ResponseEndCheck)
};

struct AttemptResult {
  policy::CallResult result = policy::CallResult::kOk;
  double duration_s = 0;         // from the start of the attempt to its end
  double actual_cost_units = 0;  // the cost that the backend measured; 0 if it reported none
  ResponseFault fault = ResponseFault::kNone;
  // The following fields are only set for a 200 response.
  std::string headers;  // end-to-end field lines, each terminated by CRLF
  std::string body;
};

// Converts a complete final response to a result. Status 200 is a success; 503 or 504 with the Not-Started
// field is a rejection of a request that has not run; any other response is an error of a request that may
// have run. Moves the body out of `response`. Does not set the duration.
AttemptResult ToAttemptResult(http::response<http::string_body>* response);

}  // namespace gateway::net

#endif  // GATEWAY_NET_ATTEMPT_RESULT_H_
