// Decides in the test's process about system calls of a child process on which its seccomp filter cannot
// decide, because an argument is behind a pointer.
#ifndef GATEWAY_TESTS_SUPPORT_SYSTEM_CALL_SUPERVISOR_H_
#define GATEWAY_TESTS_SUPPORT_SYSTEM_CALL_SUPERVISOR_H_

#include <fcntl.h>
#include <gtest/gtest.h>
#include <linux/seccomp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <csignal>
#include <cstdint>
#include <cstring>
#include <ctime>
#include <string>
#include <thread>

#include "support/system_call_filter.h"

namespace gateway::test_support {

// Rule: ppoll may be called with a time of 0 and no signal mask, which is how some architectures implement a
// poll that does not wait. Any other use of ppoll waits, and so does every other call that the filter passes
// on to the supervisor: it gets the filter's action for forbidden calls, either SECCOMP_RET_KILL_PROCESS or
// SECCOMP_RET_ERRNO. A process is killed by SIGKILL, which it cannot block.
//
// The process could change the time after it has been read if it had another thread. The filter must refuse
// threads.
//
// Usage: InstallInChild() in the child before it executes its program, with child_socket() kept open until
// then, and Start() in the test's process once the program has been executed. The supervisor must outlive the
// child.
class SystemCallSupervisor {
 public:
  explicit SystemCallSupervisor(uint32_t action_if_forbidden) : action_(action_if_forbidden) {
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, sockets_), 0);
    EXPECT_GE(stop_, 0);
  }
  ~SystemCallSupervisor() {
    uint64_t one = 1;
    EXPECT_EQ(write(stop_, &one, sizeof(one)), static_cast<ssize_t>(sizeof(one)));
    if (thread_.joinable()) thread_.join();
    for (int descriptor : {sockets_[kParent], sockets_[kChild], listener_, stop_}) {
      if (descriptor >= 0) close(descriptor);
    }
  }
  SystemCallSupervisor(const SystemCallSupervisor&) = delete;
  SystemCallSupervisor& operator=(const SystemCallSupervisor&) = delete;

  int child_socket() const { return sockets_[kChild]; }

  // Installs the filter in the calling process and sends the filter's listener to the test's process. Returns
  // false if the system does not allow it. May be called between fork and exec.
  bool InstallInChild(const SystemCallFilter& filter) const {
    int listener = filter.InstallWithListener();
    return listener >= 0 && SendDescriptor(sockets_[kChild], listener);
  }

  // Starts to decide. Calls that the child has made meanwhile have waited.
  void Start() {
    close(sockets_[kChild]);
    sockets_[kChild] = -1;
    listener_ = ReceiveDescriptor(sockets_[kParent]);
    ASSERT_GE(listener_, 0) << "the child has not installed its filter";
    thread_ = std::thread([this] { DecideUntilStopped(); });
  }

 private:
  static constexpr int kParent = 0, kChild = 1;

  // A message of one byte that carries one descriptor.
  struct DescriptorMessage {
    DescriptorMessage() {
      header.msg_iov = &data;
      header.msg_iovlen = 1;
      header.msg_control = control;
      header.msg_controllen = sizeof(control);
    }
    DescriptorMessage(const DescriptorMessage&) = delete;
    DescriptorMessage& operator=(const DescriptorMessage&) = delete;

    char byte = 0;
    iovec data{&byte, 1};
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))]{};
    msghdr header{};
  };

  static bool SendDescriptor(int socket, int descriptor) {
    DescriptorMessage message;
    cmsghdr* control = CMSG_FIRSTHDR(&message.header);
    control->cmsg_level = SOL_SOCKET;
    control->cmsg_type = SCM_RIGHTS;
    control->cmsg_len = CMSG_LEN(sizeof(int));
    std::memcpy(CMSG_DATA(control), &descriptor, sizeof(descriptor));
    return sendmsg(socket, &message.header, 0) == 1;
  }

  // Returns -1 if the other end has sent nothing and closed the socket.
  static int ReceiveDescriptor(int socket) {
    DescriptorMessage message;
    if (recvmsg(socket, &message.header, MSG_CMSG_CLOEXEC) != 1) return -1;
    const cmsghdr* control = CMSG_FIRSTHDR(&message.header);
    int descriptor = -1;
    if (control != nullptr) std::memcpy(&descriptor, CMSG_DATA(control), sizeof(descriptor));
    return descriptor;
  }

  void DecideUntilStopped() const {
    for (;;) {
      pollfd ready[] = {{listener_, POLLIN, 0}, {stop_, POLLIN, 0}};
      if (poll(ready, 2, -1) < 0) continue;
      bool child_has_ended = (ready[0].revents & POLLHUP) != 0;
      if (ready[1].revents != 0 || child_has_ended) return;
      DecideOne();
    }
  }

  void DecideOne() const {
    seccomp_notif call{};
    if (ioctl(listener_, SECCOMP_IOCTL_NOTIF_RECV, &call) != 0) return;  // the child was killed in the call
    bool allowed = IsPollWithoutWait(call);
    if (!allowed && action_ == SECCOMP_RET_KILL_PROCESS) {
      kill(static_cast<pid_t>(call.pid), SIGKILL);
      return;
    }
    seccomp_notif_resp response{};
    response.id = call.id;
    if (allowed) {
      response.flags = SECCOMP_USER_NOTIF_FLAG_CONTINUE;
    } else {
      response.error = -static_cast<int>(action_ & SECCOMP_RET_DATA);
    }
    ioctl(listener_, SECCOMP_IOCTL_NOTIF_SEND, &response);
  }

  bool IsPollWithoutWait(const seccomp_notif& call) const {
    constexpr int kTimeArgument = 2, kSignalMaskArgument = 3;
    if (call.data.nr != SYS_ppoll || call.data.args[kSignalMaskArgument] != 0) return false;
    timespec time{};
    bool was_read = ReadMemory(call.pid, call.data.args[kTimeArgument], &time);
    // The id is valid only while the process that made the call waits in it, so that the memory was its own.
    uint64_t id = call.id;
    bool is_still_waiting = ioctl(listener_, SECCOMP_IOCTL_NOTIF_ID_VALID, &id) == 0;
    return was_read && is_still_waiting && time.tv_sec == 0 && time.tv_nsec == 0;
  }

  // Returns false if there is no memory at the address, as where a poll has no time because it waits for
  // ever.
  static bool ReadMemory(uint32_t pid, uint64_t address, timespec* value) {
    std::string path = "/proc/" + std::to_string(pid) + "/mem";
    int memory = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (memory < 0) return false;
    ssize_t size = pread(memory, value, sizeof(*value), static_cast<off_t>(address));
    close(memory);
    return size == static_cast<ssize_t>(sizeof(*value));
  }

  const uint32_t action_;
  int sockets_[2] = {-1, -1};
  int listener_ = -1;
  const int stop_ = eventfd(0, EFD_CLOEXEC);
  std::thread thread_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_SYSTEM_CALL_SUPERVISOR_H_
