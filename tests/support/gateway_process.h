// The gateway as a process of its own.
#ifndef GATEWAY_TESTS_SUPPORT_GATEWAY_PROCESS_H_
#define GATEWAY_TESTS_SUPPORT_GATEWAY_PROCESS_H_

#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "support/temporary_file.h"
#include "support/test_connection.h"
#include "support/time_limit.h"

namespace gateway::test_support {

using nlohmann::json;

// Whether the log of a gateway process is read while it runs.
enum class LogReading {
  kAll,
  kFirstLine,  // of a pipe of the least size; the rest when the process has ended
};

// A gateway process on a free port. On destruction it gets SIGTERM and must exit with 0.
class GatewayProcess {
 public:
  // `descriptors`: the limit on open files; 0 leaves it as it is. Returns when the first log line is there.
  explicit GatewayProcess(const json& config, const char* program = API_GATEWAY, rlim_t descriptors = 0,
                          LogReading reading = LogReading::kAll)
      : GatewayProcess(config.dump(), program, descriptors, reading) {}
  GatewayProcess(const std::string& config, const char* program, rlim_t descriptors,
                 LogReading reading = LogReading::kAll)
      : configuration_(config) {
    int ends[2];
    EXPECT_EQ(pipe(ends), 0);
    if (reading == LogReading::kFirstLine) {
      EXPECT_GT(fcntl(ends[1], F_SETPIPE_SZ, 1), 0);
    }
    pid_ = fork();
    if (pid_ == 0) {
      dup2(ends[1], 2);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      setenv("LB_CONFIG", configuration_.path().c_str(), 1);
      rlimit limit{descriptors, descriptors};
      if (descriptors > 0) setrlimit(RLIMIT_NOFILE, &limit);
      execl(program, program, static_cast<char*>(nullptr));
      _exit(127);
    }
    close(ends[1]);
    log_fd_ = ends[0];
    char c;
    while (read(log_fd_, &c, 1) == 1 && c != '\n') first_line += c;
    size_t colon = first_line.rfind(':');
    if (first_line.rfind("gateway_listening ", 0) == 0) port = std::atoi(first_line.c_str() + colon + 1);
    if (reading == LogReading::kAll)
      log_reader_ = std::thread([this] { ReadLog(); });  // or its pipe fills up
  }
  ~GatewayProcess() {
    if (pid_ > 0) {
      Signal(SIGTERM);
      EXPECT_EQ(AwaitExit(), 0);
    }
  }
  // Reads the log, of which only the first line was read, until it has `text`. False if that does not come.
  bool ReadLogUntil(const std::string& text) {
    pollfd more{log_fd_, POLLIN, 0};
    while (log.find(text) == std::string::npos) {
      if (poll(&more, 1, kWaitTimeoutS * 1000) != 1 || !ReadLogPart()) return false;
    }
    return true;
  }
  void Signal(int signal) { kill(pid_, signal); }
  pid_t pid() const { return pid_; }
  // Replaces the configuration file in one step and sends SIGHUP.
  void Reload(const std::string& config) {
    std::string fresh = configuration_.path() + ".new";
    std::ofstream(fresh) << config;
    EXPECT_EQ(rename(fresh.c_str(), configuration_.path().c_str()), 0);
    Signal(SIGHUP);
  }
  // Waits for the process to end. Its exit status, or the negative number of the signal that ended it.
  int AwaitExit() {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    if (log_reader_.joinable()) log_reader_.join();
    ReadLog();
    close(log_fd_);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // Sends the signals in turn, one each millisecond, until the process has ended; returns as AwaitExit.
  int SignalUntilExit(const std::vector<int>& signals) {
    size_t sent = 0;
    siginfo_t ended{};
    while (ended.si_pid == 0) {
      Signal(signals[sent++ % signals.size()]);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      // Looked at without being reaped, so that the process keeps its id until the last signal is sent.
      waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT);
    }
    return AwaitExit();
  }
  // The most memory that was resident so far, in MB. 0 under a sanitizer, whose own memory would count.
  double PeakResidentMb() const {
#ifdef __SANITIZE_ADDRESS__
    return 0;
#endif
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string text; std::getline(status, text);) {
      if (text.rfind("VmHWM:", 0) == 0) return std::atof(text.c_str() + 6) / 1024;
    }
    return 0;
  }
  // The sockets and pipes above standard error on which a read or a write may wait, as /proc names them.
  std::vector<std::string> BlockingSocketsAndPipes() const {
    std::filesystem::path process = std::filesystem::path("/proc") / std::to_string(pid_);
    std::vector<std::string> blocking;
    int looked_at = 0;
    for (const auto& entry : std::filesystem::directory_iterator(process / "fd")) {
      std::filesystem::path descriptor = entry.path().filename();
      std::error_code closed_meanwhile;
      std::string target = std::filesystem::read_symlink(entry.path(), closed_meanwhile);
      bool waits_for_peer = target.rfind("socket:", 0) == 0 || target.rfind("pipe:", 0) == 0;
      if (!waits_for_peer || std::stoi(descriptor) <= STDERR_FILENO) continue;
      std::ifstream info(process / "fdinfo" / descriptor);
      std::string key;
      while (info >> key && key != "flags:") {
      }
      long flags = 0;
      if (!(info >> std::oct >> flags)) continue;  // closed meanwhile
      ++looked_at;
      if ((flags & O_NONBLOCK) == 0) blocking.push_back(target);
    }
    EXPECT_GT(looked_at, 0);
    return blocking;
  }
  std::unique_ptr<TestConnection> Connect() const { return TestConnection::ConnectTo(port); }
  int port = 0;                 // that it listens on; 0 where it did not start
  std::string first_line, log;  // the first line of the log; after AwaitExit the others

 private:
  // Waits for more of the log. False at its end, that is, when the process has ended.
  bool ReadLogPart() {
    char part[4096];
    ssize_t n = read(log_fd_, part, sizeof(part));
    if (n > 0) log.append(part, static_cast<size_t>(n));
    return n > 0;
  }
  void ReadLog() {
    while (ReadLogPart()) {
    }
  }

  pid_t pid_ = -1;
  int log_fd_ = -1;
  TemporaryFile configuration_;
  std::thread log_reader_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_GATEWAY_PROCESS_H_
