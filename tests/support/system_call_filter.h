// A seccomp filter that a test sets on a process which it starts.
#ifndef GATEWAY_TESTS_SUPPORT_SYSTEM_CALL_FILTER_H_
#define GATEWAY_TESTS_SUPPORT_SYSTEM_CALL_FILTER_H_

#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gateway::test_support {

// Rules are asked in the order in which they were added; the first that applies decides.
class SystemCallFilter {
 public:
  SystemCallFilter() { LoadNumber(); }
  // Applies to all calls of the number.
  void Add(long number, uint32_t action) {
    Jump(static_cast<uint32_t>(number), 1);
    Return(action);
  }
  // Applies to those whose argument, under the mask, has the value. Its upper half is not looked at.
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
  // The last rule: applies to all other calls.
  void AddForAllOthers(uint32_t action) { Return(action); }
  // Sets the filter on the calling process, for good. False where the system does not take it. Safe between
  // fork and exec.
  bool Install() const {
    sock_fprog program{static_cast<unsigned short>(program_.size()),
                       const_cast<sock_filter*>(program_.data())};
    return prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
           prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
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
