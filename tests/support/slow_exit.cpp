// Linked into a program, delays the exit of the process after the end of main(), so that a signal reliably
// arrives in between.
#include <chrono>
#include <thread>

namespace {

struct SlowExit {
  ~SlowExit() { std::this_thread::sleep_for(std::chrono::milliseconds(100)); }
};

const SlowExit kSlowExit;

}  // namespace
