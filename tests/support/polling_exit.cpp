// Linked into a program, makes the process poll no descriptor for a time after the end of main(), so that it
// waits outside its event loop. The environment variable POLL_AT_EXIT_MS holds the time; -1 waits forever.
#include <poll.h>

#include <cstdlib>

namespace {

struct PollingExit {
  ~PollingExit() {
    const char* time_ms = std::getenv("POLL_AT_EXIT_MS");
    if (time_ms != nullptr) poll(nullptr, 0, std::atoi(time_ms));
  }
};

const PollingExit kPollingExit;

}  // namespace
