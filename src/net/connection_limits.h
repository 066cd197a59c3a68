// Derives the limits on connections and tenants from the gateway's limits on descriptors and memory.
#ifndef GATEWAY_NET_CONNECTION_LIMITS_H_
#define GATEWAY_NET_CONNECTION_LIMITS_H_

#include <cstddef>

#include "config/gateway_config.h"

namespace gateway::net {

// Limited by descriptors and by memory, but at least 1.
size_t MaxClientConnections(const config::GatewayConfig& config);

// Limited by the descriptors that are not available to client connections.
size_t MaxBackendConnections(const config::GatewayConfig& config);

// The number of tenants whose quotas the policy keeps, limited by memory.
size_t MaxTenants(const config::GatewayConfig& config);

}  // namespace gateway::net

#endif  // GATEWAY_NET_CONNECTION_LIMITS_H_
