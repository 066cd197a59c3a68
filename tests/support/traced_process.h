// A process of which a test sees each system call before it is made.
#ifndef GATEWAY_TESTS_SUPPORT_TRACED_PROCESS_H_
#define GATEWAY_TESTS_SUPPORT_TRACED_PROCESS_H_

#include <gtest/gtest.h>
#include <sys/ptrace.h>
#include <sys/wait.h>

#include <csignal>
#include <cstdint>

namespace gateway::test_support {

// Call in the process to be traced, before it runs its program.
inline bool AskToBeTraced() { return ptrace(PTRACE_TRACEME, 0, nullptr, nullptr) == 0; }

// All calls come from the thread that has started the process.
class TracedProcess {
 public:
  struct Call {
    long number = -1;  // -1: the process has ended
    uint64_t first_argument = 0;
  };

  // Waits until the process runs its program.
  explicit TracedProcess(pid_t pid) : pid_(pid) {
    int status = 0;
    EXPECT_EQ(waitpid(pid_, &status, 0), pid_);
    EXPECT_TRUE(WIFSTOPPED(status));
    EXPECT_EQ(ptrace(PTRACE_SETOPTIONS, pid_, nullptr, PTRACE_O_TRACESYSGOOD | PTRACE_O_EXITKILL), 0);
  }
  // Lets the process run to its next system call, which it has not made yet.
  Call RunToNextCall() {
    for (;;) {
      if (!RunToNextStop()) return {};
      __ptrace_syscall_info info{};
      ptrace(PTRACE_GET_SYSCALL_INFO, pid_, sizeof(info), &info);
      if (info.op != PTRACE_SYSCALL_INFO_ENTRY) continue;
      return {static_cast<long>(info.entry.nr), info.entry.args[0]};
    }
  }
  // Sends a signal, which takes the process in the call at which it stands, and traces it no longer.
  void Release(int signal) const {
    kill(pid_, signal);
    EXPECT_EQ(ptrace(PTRACE_DETACH, pid_, nullptr, nullptr), 0);
  }

 private:
  bool RunToNextStop() const {
    ptrace(PTRACE_SYSCALL, pid_, nullptr, nullptr);
    // Not reaped, so that whoever started the process gets its exit status.
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
