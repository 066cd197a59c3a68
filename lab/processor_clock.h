// Measures the processor time of a piece of code.
#ifndef GATEWAY_LAB_PROCESSOR_CLOCK_H_
#define GATEWAY_LAB_PROCESSOR_CLOCK_H_

#include <time.h>

namespace gateway::lab {

// Returns the processor time of the calling thread in seconds. It does not include other work on the machine.
inline double ThreadProcessorSeconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_PROCESSOR_CLOCK_H_
