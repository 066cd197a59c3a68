// The clock readings of the process, formatted for the log.
#ifndef GATEWAY_NET_PROCESS_TIMES_H_
#define GATEWAY_NET_PROCESS_TIMES_H_

#include <string>

namespace gateway::net {

// Returns "monotonic_s=N system_s=N cpu_s=N": the monotonic clock, the system clock (seconds since 1970) and
// the CPU time that the process has used so far. Comparing two log lines of a process shows whether it
// computed, or waited or had no core, and whether the system clock was set in between.
std::string FormatProcessTimes();

}  // namespace gateway::net

#endif  // GATEWAY_NET_PROCESS_TIMES_H_
