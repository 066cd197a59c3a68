// The monotonic clock of the network code, with conversions. The policy's time is different: it is given in
// seconds of the system clock.
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

// Formats a duration in seconds with three decimals, the format of times in the log.
inline std::string FormatSeconds(Clock::duration duration) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", ToSeconds(duration));
  return text;
}

}  // namespace gateway::net

#endif  // GATEWAY_NET_CLOCK_H_
