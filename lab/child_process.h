// A program that runs beside the lab, and a file to configure it with.
#ifndef GATEWAY_LAB_CHILD_PROCESS_H_
#define GATEWAY_LAB_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>

namespace gateway::lab {

// A file under /tmp that is removed on destruction.
class TemporaryFile {
 public:
  // Throws std::runtime_error where the file can't be made.
  explicit TemporaryFile(const std::string& content);
  ~TemporaryFile();
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// A child process. Killed and waited for on destruction.
class ChildProcess {
 public:
  // Starts `program`, without arguments, with one variable more in its environment. What it writes is
  // appended to the file `output`. A program that can't be started shows as a process that is not running.
  ChildProcess(const std::string& program, const std::string& variable, const std::string& value,
               const std::string& output = "/dev/null");
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  bool IsRunning() { return pid_ > 0 && !ExitStatus().has_value(); }
  // Of a process that has ended: its exit status, or the negative number of the signal that ended it.
  std::optional<int> ExitStatus();
  // Does nothing to a process that has ended.
  void Signal(int signal);
  // Descriptors that it has open. 0 where the process is gone.
  int OpenDescriptors() const;
  // Of user and system together, since its start. 0 where the process is gone.
  double ProcessorSeconds() const;
  // The highest so far. 0 where the process is gone.
  double MaxResidentMb() const;

 private:
  pid_t pid_ = -1;  // -1: not started, or ended and waited for
  std::optional<int> exit_status_;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CHILD_PROCESS_H_
