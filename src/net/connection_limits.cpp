#include "net/connection_limits.h"

#include <algorithm>

#include "net/http_framing.h"

namespace gateway::net {
namespace {

// Descriptors that are used neither for clients nor for backends: log, epoll, timer, listener, counter and
// discovery.
constexpr int kReservedDescriptors = 48;
constexpr double kClientDescriptorShare = 0.6;  // share of the other descriptors that is available to clients

constexpr double kBytesPerMb = 1 << 20;
constexpr double kBaseProcessMb = 8;  // memory of the process without connections
// Per client, the request, its copy for the backend and the response are kept in memory.
constexpr double kMaxMbPerClient = 3.0 * (kMaxBodyBytes + kMaxHeaderBytes) / kBytesPerMb;

constexpr double kTenantMemoryShare = 0.125;
constexpr double kBytesPerTenant = 512;  // with its place in the table

}  // namespace

size_t MaxClientConnections(const config::GatewayConfig& config) {
  double by_descriptors = (config.max_sockets - kReservedDescriptors) * kClientDescriptorShare;
  double by_memory = (config.max_memory_mb - kBaseProcessMb) / kMaxMbPerClient;
  return static_cast<size_t>(std::max(1.0, std::min(by_descriptors, by_memory)));
}

size_t MaxBackendConnections(const config::GatewayConfig& config) {
  return static_cast<size_t>((config.max_sockets - kReservedDescriptors) * (1 - kClientDescriptorShare));
}

size_t MaxTenants(const config::GatewayConfig& config) {
  return static_cast<size_t>(config.max_memory_mb * kBytesPerMb * kTenantMemoryShare / kBytesPerTenant);
}

}  // namespace gateway::net
