// Checks the history of a soak against the operators' rules.
#ifndef GATEWAY_LAB_SOAK_CHECKS_H_
#define GATEWAY_LAB_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "lab/soak/deployment.h"
#include "lab/soak/history.h"

namespace gateway::lab::soak {

enum class Rule {
  // A request gets one final response, at most half a second after its timeout.
  kAnswerInTime,
  // The gateway does not close a connection on which it read a request and has not responded.
  kReadIsAnswered,
  // The gateway does not close the connection of a request that it forwarded and has not responded to.
  kForwardedIsAnswered,
  // The gateway closes the connection of a request unread at most once: it reads the request when the client
  // resends it.
  kClosedUnreadOnce,
  // No attempt begins more than 0.1 s after its client left.
  kClientLeft,
  // No attempt begins at a backend whose drain grace is over.
  kDrain,
  // A non-idempotent request is sent again only if it certainly was not executed. A request with an
  // idempotency key may also be sent again within its deduplication window.
  kRunOnce,
  // The timeout that is forwarded to a backend is at most the time left to the client, plus 0.15 s of slack.
  kForwardedTimeout,
  // A request has at most the allowed number of attempts, and no concurrent attempts if hedging is disabled.
  kAttempts,
  // A gateway exits with status 0 after SIGTERM and does not exit without a signal.
  kExit,
  // A gateway is ready within 10 s of its start.
  kReady,
  // A gateway without load has closed the descriptors that it no longer needs.
  kDescriptors,
};

const char* Name(Rule rule);

struct Violation {
  Rule rule = Rule::kAnswerInTime;
  double at_s = 0;
  std::string request_id;  // empty if the rule does not concern a single request
  std::string text;
};

// Returns all violations, sorted by time. Time limits are extended by the time in which the gateway's process
// or the soak itself was paused.
std::vector<Violation> CheckHistory(const Deployment& deployment, const HistoryData& history);

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_CHECKS_H_
