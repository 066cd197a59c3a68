// Validation of a request before any rule of the decision module sees it.
#ifndef GATEWAY_POLICY_REQUEST_VALIDATION_H_
#define GATEWAY_POLICY_REQUEST_VALIDATION_H_

#include "policy/events.h"
#include "policy/settings.h"

namespace gateway::policy {

// Returns false if the settings have no such class or plan, if the cost is not finite and positive, if
// another number is not finite, or if too little time is left for a response to arrive. Invalid requests are
// rejected.
bool IsValidRequest(const Request& request, const Settings& settings);

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_REQUEST_VALIDATION_H_
