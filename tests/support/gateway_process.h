// Runs the gateway as a child process.
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

// Which part of a gateway's log is read while the process runs.
enum class LogReading {
  kAll,
  kFirstLine,  // the pipe has the minimum size; ReadLogUntil() and AwaitExit() read the rest
};

// A gateway process that listens on a free port. The destructor sends SIGTERM and expects exit status 0.
class GatewayProcess {
 public:
  // Returns as soon as the first log line has been read. `max_descriptors` limits the open files of the
  // process; 0 keeps the limit of the test.
  explicit GatewayProcess(const json& config, const char* program = API_GATEWAY, rlim_t max_descriptors = 0,
                          LogReading reading = LogReading::kAll)
      : GatewayProcess(config.dump(), program, max_descriptors, reading) {}
  GatewayProcess(const std::string& config, const char* program, rlim_t max_descriptors,
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
      rlimit limit{max_descriptors, max_descriptors};
      if (max_descriptors > 0) setrlimit(RLIMIT_NOFILE, &limit);
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
      log_reader_ = std::thread([this] { ReadLog(); });  // keeps the pipe from filling up
  }
  ~GatewayProcess() {
    if (pid_ > 0) {
      Signal(SIGTERM);
      EXPECT_EQ(AwaitExit(), 0);
    }
  }
  // Reads the log until it contains `text`. Requires LogReading::kFirstLine. Returns false if the log ends
  // or nothing is written to it for kWaitTimeoutS.
  bool ReadLogUntil(const std::string& text) {
    pollfd more{log_fd_, POLLIN, 0};
    while (log.find(text) == std::string::npos) {
      if (poll(&more, 1, kWaitTimeoutS * 1000) != 1 || !ReadLogPart()) return false;
    }
    return true;
  }
  void Signal(int signal) { kill(pid_, signal); }
  pid_t pid() const { return pid_; }
  // Replaces the configuration file atomically and sends SIGHUP.
  void Reload(const std::string& config) {
    std::string new_path = configuration_.path() + ".new";
    std::ofstream(new_path) << config;
    EXPECT_EQ(rename(new_path.c_str(), configuration_.path().c_str()), 0);
    Signal(SIGHUP);
  }
  // Waits for the process to end. Returns its exit status, or the negated number of the signal that ended it.
  int AwaitExit() {
    int status = 0;
    waitpid(pid_, &status, 0);
    pid_ = -1;
    if (log_reader_.joinable()) log_reader_.join();
    ReadLog();
    close(log_fd_);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  // Sends the signals in turn, one per millisecond, until the process has ended. Returns the same value as
  // AwaitExit().
  int SignalUntilExit(const std::vector<int>& signals) {
    size_t sent = 0;
    siginfo_t ended{};
    while (ended.si_pid == 0) {
      Signal(signals[sent++ % signals.size()]);
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
      // WNOWAIT does not reap the process, so that its id stays valid until the last signal has been sent.
      waitid(P_PID, static_cast<id_t>(pid_), &ended, WEXITED | WNOHANG | WNOWAIT);
    }
    return AwaitExit();
  }
  // Returns the peak resident memory in MB, or 0 under a sanitizer, whose own memory would be included.
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
  // Returns the sockets and pipes, other than the standard streams, that are not in non-blocking mode, as
  // named in /proc.
  std::vector<std::string> BlockingSocketsAndPipes() const {
    std::filesystem::path process = std::filesystem::path("/proc") / std::to_string(pid_);
    std::vector<std::string> blocking;
    int checked = 0;
    for (const auto& entry : std::filesystem::directory_iterator(process / "fd")) {
      std::filesystem::path descriptor = entry.path().filename();
      std::error_code closed_concurrently;
      std::string target = std::filesystem::read_symlink(entry.path(), closed_concurrently);
      bool waits_for_peer = target.rfind("socket:", 0) == 0 || target.rfind("pipe:", 0) == 0;
      if (!waits_for_peer || std::stoi(descriptor) <= STDERR_FILENO) continue;
      std::ifstream info(process / "fdinfo" / descriptor);
      std::string key;
      while (info >> key && key != "flags:") {
      }
      long flags = 0;
      if (!(info >> std::oct >> flags)) continue;  // closed concurrently
      ++checked;
      if ((flags & O_NONBLOCK) == 0) blocking.push_back(target);
    }
    EXPECT_GT(checked, 0);
    return blocking;
  }
  std::unique_ptr<TestConnection> Connect() const { return TestConnection::ConnectTo(port); }
  int port = 0;                 // port that the gateway listens on, or 0 if it did not start
  std::string first_line, log;  // the first log line; all others once AwaitExit() has returned

 private:
  // Waits for the next part of the log. Returns false at its end, which means that the process has ended.
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
