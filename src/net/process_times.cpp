#include "net/process_times.h"

#include <chrono>
#include <ctime>

#include "net/clock.h"

namespace gateway::net {

std::string FormatProcessTimes() {
  auto monotonic = Clock::now().time_since_epoch();
  auto system = std::chrono::system_clock::now().time_since_epoch();
  double cpu_s = static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
  return "monotonic_s=" + FormatSeconds(monotonic) + " system_s=" + FormatSeconds(system) +
         " cpu_s=" + FormatSeconds(Seconds(cpu_s));
}

}  // namespace gateway::net
