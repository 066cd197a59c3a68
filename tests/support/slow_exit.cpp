// Linked into a program, makes the time between the end of main() and the process's exit long enough for a
// signal to come in it each time.
#include <chrono>
#include <thread>

namespace {

struct SlowExit {
  ~SlowExit() { std::this_thread::sleep_for(std::chrono::milliseconds(100)); }
};

const SlowExit kSlowExit;

}  // namespace
