// The clock of everything on sockets: monotonic, unlike the policy's, which is in seconds of the system's
// clock.
#ifndef GATEWAY_NET_CLOCK_H_
#define GATEWAY_NET_CLOCK_H_

#include <chrono>

namespace gateway::net {

using Clock = std::chrono::steady_clock;

inline Clock::duration Seconds(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

inline double ToSeconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLOCK_H_
