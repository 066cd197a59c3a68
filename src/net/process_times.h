// What the process's clocks say, for the log.
#ifndef GATEWAY_NET_PROCESS_TIMES_H_
#define GATEWAY_NET_PROCESS_TIMES_H_

#include <string>

namespace gateway::net {

// "monotonic_s= system_s= cpu_s=": the monotonic clock, the system's clock (seconds since 1970) and the
// processor time that the process has used so far. Lines of one process that carry them tell a process that
// waited, or had no core, from one that computed, and a clock that was set from time that passed.
std::string FormatProcessTimes();

}  // namespace gateway::net

#endif  // GATEWAY_NET_PROCESS_TIMES_H_
