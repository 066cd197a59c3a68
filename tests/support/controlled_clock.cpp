// A library that is preloaded into a program under test. It replaces the functions of the C library that read
// a clock, and counts calls of epoll_wait, poll and nanosleep (see controlled_clock.h). Timeouts that expire
// in the kernel (epoll_wait, timerfd) still follow the system's clock.
#include "support/controlled_clock.h"

#include <poll.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <sys/time.h>

#include <cstdlib>
#include <ctime>

namespace {

using gateway::test_support::ControlledClock;

constexpr int64_t kNsPerS = 1000000000;
constexpr int64_t kNsPerUs = 1000;

ControlledClock& SharedClock() {
  static ControlledClock no_control{};
  static ControlledClock* const kShared = [] {
    const char* path = std::getenv(gateway::test_support::kControlledClockVariable);
    ControlledClock* mapped = path != nullptr ? gateway::test_support::MapControlledClock(path) : nullptr;
    return mapped != nullptr ? mapped : &no_control;
  }();
  return *kShared;
}

int64_t SystemNs(clockid_t clock) {
  timespec now{};
  syscall(SYS_clock_gettime, clock, &now);
  return now.tv_sec * kNsPerS + now.tv_nsec;
}

// Returns the time of a controlled clock. It starts at the system's time.
int64_t ControlledNs(clockid_t clock) {
  static const int64_t kMonotonicStart = SystemNs(CLOCK_MONOTONIC);
  static const int64_t kRealtimeStart = SystemNs(CLOCK_REALTIME);
  ControlledClock& clock_control = SharedClock();
  int64_t elapsed_ns = clock_control.frozen ? 0 : SystemNs(CLOCK_MONOTONIC) - kMonotonicStart;
  if (clock == CLOCK_REALTIME) return kRealtimeStart + elapsed_ns;
  ++clock_control.monotonic_readings;
  return kMonotonicStart + elapsed_ns;
}

bool IsControlled(clockid_t clock) { return clock == CLOCK_MONOTONIC || clock == CLOCK_REALTIME; }

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* now) noexcept {
  if (!IsControlled(clock)) return static_cast<int>(syscall(SYS_clock_gettime, clock, now));
  int64_t time_ns = ControlledNs(clock);
  now->tv_sec = time_ns / kNsPerS;
  now->tv_nsec = time_ns % kNsPerS;
  return 0;
}

int gettimeofday(timeval* now, void* /*zone*/) noexcept {
  int64_t time_ns = ControlledNs(CLOCK_REALTIME);
  now->tv_sec = time_ns / kNsPerS;
  now->tv_usec = time_ns % kNsPerS / kNsPerUs;
  return 0;
}

time_t time(time_t* now) noexcept {
  time_t time_s = ControlledNs(CLOCK_REALTIME) / kNsPerS;
  if (now != nullptr) *now = time_s;
  return time_s;
}

int epoll_wait(int descriptor, epoll_event* events, int size, int timeout_ms) {
  ++SharedClock().event_loop_waits;
  return static_cast<int>(syscall(SYS_epoll_pwait, descriptor, events, size, timeout_ms, nullptr, 0));
}

int poll(pollfd* descriptors, nfds_t size, int timeout_ms) {
  if (timeout_ms != 0) ++SharedClock().other_timed_waits;
  timespec timeout{timeout_ms / 1000, timeout_ms % 1000 * 1000000L};
  return static_cast<int>(
      syscall(SYS_ppoll, descriptors, size, timeout_ms < 0 ? nullptr : &timeout, nullptr, 0));
}

int nanosleep(const timespec* duration, timespec* left) {
  ++SharedClock().other_timed_waits;
  return static_cast<int>(syscall(SYS_nanosleep, duration, left));
}

}  // extern "C"
