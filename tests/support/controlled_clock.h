// A clock that a test controls in a process which it starts, and what that process does with it. Shared
// between both through a file that each maps into its memory.
#ifndef GATEWAY_TESTS_SUPPORT_CONTROLLED_CLOCK_H_
#define GATEWAY_TESTS_SUPPORT_CONTROLLED_CLOCK_H_

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdint>

namespace gateway::test_support {

// The environment variable that names the file to the process. All zero, it changes nothing.
inline constexpr char kControlledClockVariable[] = "TEST_CONTROLLED_CLOCK";

struct ControlledClock {
  std::atomic<bool> frozen;                 // from the process's first reading on
  std::atomic<int64_t> monotonic_readings;  // how often the process has read CLOCK_MONOTONIC
  std::atomic<int64_t> event_loop_waits;    // how often it has waited in epoll_wait
  std::atomic<int64_t> other_timed_waits;   // calls of poll with a time-out, and of nanosleep
};

// Null where the file cannot be mapped.
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
