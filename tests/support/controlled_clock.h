// A clock of a child process that the test controls, with counts of the process's clock readings and waits.
// Both processes map the same file into memory to share it.
#ifndef GATEWAY_TESTS_SUPPORT_CONTROLLED_CLOCK_H_
#define GATEWAY_TESTS_SUPPORT_CONTROLLED_CLOCK_H_

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace gateway::test_support {

// The environment variable with the path of the shared file. A file of zeros leaves the clock as it is.
inline constexpr char kControlledClockVariable[] = "TEST_CONTROLLED_CLOCK";

struct ControlledClock {
  std::atomic<bool> frozen;                 // the clock stays at the process's first reading
  std::atomic<int64_t> monotonic_readings;  // number of readings of CLOCK_MONOTONIC
  std::atomic<int64_t> event_loop_waits;    // number of calls of epoll_wait
  std::atomic<int64_t> other_timed_waits;   // number of calls of nanosleep, and of poll with a timeout
};

// Creates the file if needed. Returns null if it cannot be mapped.
inline ControlledClock* MapControlledClock(const char* path) {
  int file = open(path, O_RDWR | O_CREAT | O_CLOEXEC, S_IRUSR | S_IWUSR);
  if (file < 0) return nullptr;
  bool sized = ftruncate(file, sizeof(ControlledClock)) == 0;
  void* mapped = mmap(nullptr, sizeof(ControlledClock), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  close(file);
  return sized && mapped != MAP_FAILED ? static_cast<ControlledClock*>(mapped) : nullptr;
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_CONTROLLED_CLOCK_H_
