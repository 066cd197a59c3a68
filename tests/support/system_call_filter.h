// A seccomp filter that a test installs in a child process.
#ifndef GATEWAY_TESTS_SUPPORT_SYSTEM_CALL_FILTER_H_
#define GATEWAY_TESTS_SUPPORT_SYSTEM_CALL_FILTER_H_

#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gateway::test_support {

// The rules are checked in the order in which they were added, and the first match determines the action.
class SystemCallFilter {
 public:
  SystemCallFilter() { LoadNumber(); }
  // Adds a rule that matches all calls with this number.
  void Add(long number, uint32_t action) {
    Jump(static_cast<uint32_t>(number), 1);
    Return(action);
  }
  // Adds a rule that matches calls with this number whose masked argument equals `value`. Only the lower 32
  // bits of the argument are compared.
  void AddIf(long number, int argument, uint32_t mask, uint32_t value, uint32_t action) {
    constexpr uint8_t kRestOfRule = 5;
    Jump(static_cast<uint32_t>(number), kRestOfRule);
    auto offset = offsetof(seccomp_data, args) + sizeof(uint64_t) * static_cast<size_t>(argument);
    program_.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, static_cast<uint32_t>(offset)));
    program_.push_back(BPF_STMT(BPF_ALU | BPF_AND | BPF_K, mask));
    Jump(value, 1);
    Return(action);
    LoadNumber();
  }
  // Adds the last rule, which matches all other calls.
  void AddForAllOthers(uint32_t action) { Return(action); }
  // Installs the filter in the calling process, permanently. Returns a descriptor on which calls with the
  // action SECCOMP_RET_USER_NOTIF wait for a decision, or -1 if the system does not accept the filter. May be
  // called between fork and exec.
  int InstallWithListener() const {
    sock_fprog program{static_cast<unsigned short>(program_.size()),
                       const_cast<sock_filter*>(program_.data())};
    if (prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) != 0) return -1;
    return static_cast<int>(
        syscall(SYS_seccomp, SECCOMP_SET_MODE_FILTER, SECCOMP_FILTER_FLAG_NEW_LISTENER, &program));
  }

 private:
  void LoadNumber() { program_.push_back(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(seccomp_data, nr))); }
  void Jump(uint32_t wanted, uint8_t instructions_to_skip_if_other) {
    program_.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, wanted, 0, instructions_to_skip_if_other));
  }
  void Return(uint32_t action) { program_.push_back(BPF_STMT(BPF_RET | BPF_K, action)); }

  std::vector<sock_filter> program_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_SYSTEM_CALL_FILTER_H_
