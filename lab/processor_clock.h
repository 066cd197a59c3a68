// Processor time, for measuring what a piece of code costs.
#ifndef GATEWAY_LAB_PROCESSOR_CLOCK_H_
#define GATEWAY_LAB_PROCESSOR_CLOCK_H_

#include <time.h>

namespace gateway::lab {

// Processor time used by the calling thread, in seconds. Other work on the machine does not add to it.
inline double ThreadProcessorSeconds() {
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) + 1e-9 * static_cast<double>(used.tv_nsec);
}

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_PROCESSOR_CLOCK_H_
