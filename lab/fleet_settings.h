// The settings that the gateways of a simulated fleet are given.
#ifndef GATEWAY_LAB_FLEET_SETTINGS_H_
#define GATEWAY_LAB_FLEET_SETTINGS_H_

#include "lab/fleet_options.h"
#include "policy/settings.h"

namespace gateway::lab {

// Of every request class.
constexpr double kLatencyObjectiveS = 1.2;
constexpr double kDeadlineS = 4;

constexpr double kCounterTimeoutS = 0.03;

// Settings for one gateway of zone 0. The plans are those of `options`, without the scaling of TenantModel.
policy::Settings MakeGatewaySettings(const FleetOptions& options);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_SETTINGS_H_
