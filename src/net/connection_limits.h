// How the gateway's limits on descriptors and memory are shared out among its connections.
#ifndef GATEWAY_NET_CONNECTION_LIMITS_H_
#define GATEWAY_NET_CONNECTION_LIMITS_H_

#include <cstddef>

#include "config/gateway_config.h"

namespace gateway::net {

// Bounded by descriptors and by memory; at least 1.
size_t MaxClientConnections(const config::GatewayConfig& config);

// Bounded by the descriptors that are not the clients'.
size_t MaxBackendConnections(const config::GatewayConfig& config);

}  // namespace gateway::net

#endif  // GATEWAY_NET_CONNECTION_LIMITS_H_
