// Runs the gateway as a child process for tests of its start. The test chooses the standard error and the
// environment of the process, and what it does before it executes the program.
#ifndef GATEWAY_TESTS_SUPPORT_GATEWAY_START_H_
#define GATEWAY_TESTS_SUPPORT_GATEWAY_START_H_

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "support/tcp_table.h"
#include "support/test_connection.h"
#include "support/time_limit.h"

namespace gateway::test_support {

struct GatewayStartOptions {
  const char* program = API_GATEWAY;
  int standard_error = STDERR_FILENO;
  std::vector<std::string> environment;  // NAME=value, in addition to the variables of the test
  // Called in the child process before it executes the program. May only call async-signal-safe functions.
  std::function<void()> before_program;
  int descriptor_before_program = -1;  // stays open until `before_program` has returned; close-on-exec
};

// A process that runs a gateway program. The destructor kills it if it has not ended.
class GatewayStart {
 public:
  static constexpr int kDidNotExit = -1000;  // returned by AwaitExit() if the process had to be killed

  // Returns as soon as the process executes the program. The process inherits no descriptor of the test
  // except the standard streams.
  GatewayStart(const std::string& configuration_path, const GatewayStartOptions& options) {
    std::vector<std::string> variables = options.environment;
    variables.push_back("LB_CONFIG=" + configuration_path);
    for (char** variable = environ; *variable != nullptr; ++variable) variables.emplace_back(*variable);
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (std::string& variable : variables) environment.push_back(variable.data());
    environment.push_back(nullptr);
    std::string program = options.program;
    char* arguments[] = {program.data(), nullptr};
    int ends[2];  // the write end is closed when the program is executed
    EXPECT_EQ(pipe2(ends, O_CLOEXEC), 0);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(options.standard_error, STDERR_FILENO);
      constexpr int kFirstOther = 3, kPastOthers = 1024;
      for (int fd = kFirstOther; fd < kPastOthers; ++fd) {
        if (fd != ends[1] && fd != options.descriptor_before_program) close(fd);
      }
      if (options.before_program) options.before_program();
      execve(arguments[0], arguments, environment.data());
      _exit(127);
    }
    close(ends[1]);
    char byte;
    EXPECT_EQ(read(ends[0], &byte, 1), 0);
    close(ends[0]);
  }
  ~GatewayStart() {
    if (pid_ <= 0) return;
    Signal(SIGKILL);
    AwaitExit();
  }
  GatewayStart(const GatewayStart&) = delete;
  GatewayStart& operator=(const GatewayStart&) = delete;

  pid_t pid() const { return pid_; }
  void Signal(int signal) const { kill(pid_, signal); }
  // Waits for the process to end. Returns its exit status, or the negated number of the signal that ended it.
  int AwaitExit() {
    bool exited = WaitUntilExited();
    if (!exited) Signal(SIGKILL);
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    if (!exited) return kDidNotExit;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // Waits until the gateway listens and connects to it. Returns null if the process ends before that or does
  // not listen within kWaitTimeoutS.
  std::unique_ptr<TestConnection> Connect() const {
    auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(kWaitTimeoutS);
    while (!HasExited() && std::chrono::steady_clock::now() < deadline) {
      int port = ListeningPort();
      if (port != 0) return TestConnection::ConnectTo(port);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return nullptr;
  }

 private:
  bool HasExited() const {
    siginfo_t exited{};
    waitid(P_PID, static_cast<id_t>(pid_), &exited, WEXITED | WNOHANG | WNOWAIT);
    return exited.si_pid != 0;
  }
  bool WaitUntilExited() const {
    int descriptor = static_cast<int>(syscall(SYS_pidfd_open, pid_, 0));
    EXPECT_GE(descriptor, 0);
    pollfd process{descriptor, POLLIN, 0};
    bool exited = poll(&process, 1, kWaitTimeoutS * 1000) == 1;
    close(descriptor);
    return exited;
  }
  // Returns the port of the process's listening socket, or 0 if it has none.
  int ListeningPort() const {
    std::set<std::string> sockets = Sockets();
    for (const TcpSocket& socket : TcpTable()) {
      if (socket.state != TcpState::kListening) continue;
      if (sockets.count("socket:[" + std::to_string(socket.inode) + "]") == 0) continue;
      return static_cast<int>(socket.local_port);
    }
    return 0;
  }
  std::set<std::string> Sockets() const {
    std::set<std::string> sockets;
    std::error_code error;
    std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(pid_) + "/fd", error);
    for (; !error && descriptors != std::filesystem::directory_iterator(); descriptors.increment(error)) {
      std::error_code closed_concurrently;
      sockets.insert(std::filesystem::read_symlink(descriptors->path(), closed_concurrently).string());
    }
    return sockets;
  }

  pid_t pid_ = -1;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_GATEWAY_START_H_
