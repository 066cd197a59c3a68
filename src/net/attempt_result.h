// How one attempt at a backend ended, and how an HTTP response becomes that.
#ifndef GATEWAY_NET_ATTEMPT_RESULT_H_
#define GATEWAY_NET_ATTEMPT_RESULT_H_

#include <string>

#include "net/http_headers.h"
#include "policy/events.h"

namespace gateway::net {

struct AttemptResult {
  policy::CallResult result = policy::CallResult::kOk;
  double duration_s = 0;         // from the call of Send to the end
  double actual_cost_units = 0;  // the cost that the backend measured; 0 where it reported none
  // Of a 200 response only:
  std::string headers;  // its end-to-end field lines, each ended by CRLF
  std::string body;
};

// The result that a complete final response means: 200 is a success, 503 or 504 with Not-Started a rejection
// of a request that has not run, anything else an error of a request that may have run. Moves the body out of
// `response`; does not set the duration.
AttemptResult ToAttemptResult(http::response<http::string_body>* response);

}  // namespace gateway::net

#endif  // GATEWAY_NET_ATTEMPT_RESULT_H_
