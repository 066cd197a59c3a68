// The check of a request before any rule looks at it.
#ifndef GATEWAY_POLICY_REQUEST_VALIDATION_H_
#define GATEWAY_POLICY_REQUEST_VALIDATION_H_

#include "policy/events.h"
#include "policy/settings.h"

namespace gateway::policy {

// False for a class or plan that the settings do not name, for figures that are not finite or not positive,
// and where so little time is left that no answer could arrive in it. Such a request is rejected.
bool IsValidRequest(const Request& request, const Settings& settings);

}  // namespace gateway::policy

#endif  // GATEWAY_POLICY_REQUEST_VALIDATION_H_
