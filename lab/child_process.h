// Runs a program as a child process of the lab, with a temporary configuration file.
#ifndef GATEWAY_LAB_CHILD_PROCESS_H_
#define GATEWAY_LAB_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace gateway::lab {

// A file under /tmp that is removed on destruction.
class TemporaryFile {
 public:
  // Throws std::runtime_error if the file cannot be created.
  explicit TemporaryFile(const std::string& content);
  ~TemporaryFile();
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A child process that is killed and waited for on destruction.
class ChildProcess {
 public:
  // Starts `program` without arguments and with `variable` set to `value` in its environment. Its standard
  // output and standard error are appended to the file `output`. If the program cannot be started, the
  // process counts as not running.
  ChildProcess(const std::string& program, const std::string& variable, const std::string& value,
               const std::string& output = "/dev/null");
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool IsRunning() { return pid_ > 0 && !ExitStatus().has_value(); }
  // Returns the exit status of a process that has ended, or the negated number of the signal that ended it.
  // Returns nothing while the process runs.
  std::optional<int> ExitStatus();
  // Sends a signal. Does nothing if the process has ended.
  void Signal(int signal);
  // Returns the number of open file descriptors, or 0 if the process has ended.
  int OpenDescriptors() const;
  // Returns the user and system time since the start of the process, or 0 if the process has ended.
  double ProcessorSeconds() const;
  // Returns the peak resident memory so far, or 0 if the process has ended.
  double MaxResidentMb() const;

 private:
  pid_t pid_ = -1;  // -1 if the process was not started, or has ended and was waited for
  std::optional<int> exit_status_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CHILD_PROCESS_H_
