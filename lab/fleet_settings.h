// The settings of the gateways of a simulated fleet.
#ifndef GATEWAY_LAB_FLEET_SETTINGS_H_
#define GATEWAY_LAB_FLEET_SETTINGS_H_

#include "lab/fleet_options.h"
#include "policy/settings.h"

namespace gateway::lab {

// Limits of every request class.
constexpr double kLatencyObjectiveS = 1.2;
constexpr double kDeadlineS = 4;

constexpr double kCounterTimeoutS = 0.03;

// Returns the settings for one gateway in zone 0. The plans are those of `options` before TenantModel scales
// them.
policy::Settings MakeGatewaySettings(const FleetOptions& options);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_SETTINGS_H_
