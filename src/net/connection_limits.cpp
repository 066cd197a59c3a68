#include "net/connection_limits.h"

#include <algorithm>

#include "net/http_framing.h"

namespace gateway::net {
namespace {

// Neither a client's nor a backend's: log, epoll, timer, listener, counter, discovery.
constexpr int kReservedDescriptors = 48;
constexpr double kClientShare = 0.6;  // of the other descriptors

constexpr double kBytesPerMb = 1 << 20;
constexpr double kProcessMb = 8;
// A client's exchange keeps its request, the copy of it that goes to a backend, and the response.
constexpr double kMaxExchangeMb = 3.0 * (kMaxBodyBytes + kMaxHeaderBytes) / kBytesPerMb;

}  // namespace

size_t MaxClientConnections(const config::GatewayConfig& config) {
  double by_descriptors = (config.max_sockets - kReservedDescriptors) * kClientShare;
  double by_memory = (config.max_memory_mb - kProcessMb) / kMaxExchangeMb;
  return static_cast<size_t>(std::max(1.0, std::min(by_descriptors, by_memory)));
}

size_t MaxBackendConnections(const config::GatewayConfig& config) {
  return static_cast<size_t>((config.max_sockets - kReservedDescriptors) * (1 - kClientShare));
}

}  // namespace gateway::net
