// A child process that a test stops before each of its system calls.
#ifndef GATEWAY_TESTS_SUPPORT_TRACED_PROCESS_H_
#define GATEWAY_TESTS_SUPPORT_TRACED_PROCESS_H_

#include <gtest/gtest.h>
#include <sys/ptrace.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdint>

namespace gateway::test_support {

// Must be called in the child process before it executes its program. Returns whether it will be traced.
inline bool AskToBeTraced() { return ptrace(PTRACE_TRACEME, 0, nullptr, nullptr) == 0; }

// Traces a child process. Must be used on the thread that started it, as ptrace requires.
class TracedProcess {
 public:
  struct Call {
    long number = -1;  // -1 if the process has ended
    uint64_t first_argument = 0;
  };

  // Waits until the process executes its program.
  explicit TracedProcess(pid_t pid) : pid_(pid) {
    int status = 0;
    EXPECT_EQ(waitpid(pid_, &status, 0), pid_);
    EXPECT_TRUE(WIFSTOPPED(status));
    EXPECT_EQ(ptrace(PTRACE_SETOPTIONS, pid_, nullptr, PTRACE_O_TRACESYSGOOD | PTRACE_O_EXITKILL), 0);
  }
  // Runs the process until it is about to make its next system call, and returns that call.
  Call RunToNextCall() {
    for (;;) {
      if (!RunToNextStop()) return {};
      __ptrace_syscall_info info{};
      ptrace(PTRACE_GET_SYSCALL_INFO, pid_, sizeof(info), &info);
      if (info.op != PTRACE_SYSCALL_INFO_ENTRY) continue;
      return {static_cast<long>(info.entry.nr), info.entry.args[0]};
    }
  }
  // Sends a signal, which the process receives in the system call at which it is stopped, and ends the
  // tracing.
  void Release(int signal) const {
    kill(pid_, signal);
    EXPECT_EQ(ptrace(PTRACE_DETACH, pid_, nullptr, nullptr), 0);
  }

 private:
  bool RunToNextStop() const {
    ptrace(PTRACE_SYSCALL, pid_, nullptr, nullptr);
    // WNOWAIT does not reap the process, so that the code that started it can still get its exit status.
    siginfo_t stopped{};
    if (waitid(P_PID, static_cast<id_t>(pid_), &stopped, WEXITED | WSTOPPED | WNOWAIT) != 0) return false;
    if (stopped.si_code == CLD_EXITED || stopped.si_code == CLD_KILLED || stopped.si_code == CLD_DUMPED) {
      return false;
    }
    int status = 0;
    return waitpid(pid_, &status, 0) == pid_;
  }

  const pid_t pid_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_TRACED_PROCESS_H_
