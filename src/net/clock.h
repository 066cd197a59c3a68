// The clock of everything on sockets: monotonic, unlike the policy's, which is in seconds of the system's
// clock.
#ifndef GATEWAY_NET_CLOCK_H_
#define GATEWAY_NET_CLOCK_H_

#include <chrono>
#include <cstdio>
#include <string>

namespace gateway::net {

using Clock = std::chrono::steady_clock;

inline Clock::duration Seconds(double seconds) {
  return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
}

inline double ToSeconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

// In seconds with three decimals, as the log has times.
inline std::string FormatSeconds(Clock::duration duration) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", ToSeconds(duration));
  return text;
}

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLOCK_H_
