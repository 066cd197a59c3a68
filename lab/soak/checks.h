// The operators' rules, checked on the history of a soak.
#ifndef GATEWAY_LAB_SOAK_CHECKS_H_
#define GATEWAY_LAB_SOAK_CHECKS_H_

#include <string>
#include <vector>

#include "lab/soak/deployment.h"
#include "lab/soak/history.h"

namespace gateway::lab::soak {

enum class Rule {
  kAnswerInTime,         // one final answer, at most half a second after its time
  kReadIsAnswered,       // no connection is closed after a request was read and not answered
  kForwardedIsAnswered,  // nor after it was forwarded
  kClosedUnreadOnce,     // a closing does not cross the same request twice
  kClientLeft,           // no attempt begins more than 0.1 s after its client has left
  kDrain,                // nor at a backend whose grace is over
  kRunOnce,              // what may not simply be repeated is sent again only where it surely never ran
  kToldTimeout,          // at most what is left to the client, with 0.15 s of slack
  kAttempts,             // not more than allowed, and none beside another where hedging is forbidden
  kExit,                 // status 0 after SIGTERM, and no end by itself
  kReady,                // within 10 s
  kDescriptors,          // given back at rest
};

const char* Name(Rule rule);

struct Violation {
  Rule rule = Rule::kAnswerInTime;
  double at_s = 0;
  std::string request_id;  // empty where the rule is not of a request
  std::string text;
};

// All breaks, in the order of time. Time in which a gateway, or the soak itself, was held up is allowed for.
std::vector<Violation> CheckHistory(const Deployment& deployment, const HistoryData& history);

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_CHECKS_H_
