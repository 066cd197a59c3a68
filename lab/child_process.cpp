#include "lab/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <vector>

namespace gateway::lab {
namespace {

constexpr int kExitStatusCannotExecute = 127;  // the status that shells report

// Returns the environment of this process, in the format of execve, with `variable` set to `value`.
std::vector<std::string> EnvironmentWith(const std::string& variable, const std::string& value) {
  std::vector<std::string> environment;
  for (char** entry = environ; *entry != nullptr; ++entry) {
    if (std::string(*entry).rfind(variable + "=", 0) != 0) environment.emplace_back(*entry);
  }
  environment.push_back(variable + "=" + value);
  return environment;
}

// Executes the program in the child process after fork, where only async-signal-safe calls are allowed. Does
// not return.
[[noreturn]] void ExecuteProgram(const char* program, char* const* environment, const char* output) {
  int output_file = open(output, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(output_file, STDOUT_FILENO);
  dup2(output_file, STDERR_FILENO);
  char* const arguments[] = {const_cast<char*>(program), nullptr};
  execve(program, arguments, environment);
  _exit(kExitStatusCannotExecute);
}

}  // namespace

TemporaryFile::TemporaryFile(const std::string& content) {
  char path[] = "/tmp/gateway-lab-XXXXXX";
  int file = mkstemp(path);
  if (file < 0) throw std::runtime_error("cannot create a temporary file in /tmp");
  close(file);
  path_ = path;
  std::ofstream(path_) << content;
}

TemporaryFile::~TemporaryFile() { unlink(path_.c_str()); }

ChildProcess::ChildProcess(const std::string& program, const std::string& variable, const std::string& value,
                           const std::string& output) {
  std::vector<std::string> environment = EnvironmentWith(variable, value);
  std::vector<char*> pointers;
  pointers.reserve(environment.size() + 1);
  for (std::string& entry : environment) pointers.push_back(entry.data());
  pointers.push_back(nullptr);
  pid_ = fork();
  if (pid_ == 0) ExecuteProgram(program.c_str(), pointers.data(), output.c_str());
}

ChildProcess::~ChildProcess() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

std::optional<int> ChildProcess::ExitStatus() {
  int status = 0;
  if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
    pid_ = -1;
    exit_status_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
  return exit_status_;
}

void ChildProcess::Signal(int signal) {
  if (pid_ > 0) kill(pid_, signal);
}

int ChildProcess::OpenDescriptors() const {
  std::error_code error;
  std::filesystem::directory_iterator entries("/proc/" + std::to_string(pid_) + "/fd", error);
  return error ? 0 : static_cast<int>(std::distance(begin(entries), end(entries)));
}

double ChildProcess::ProcessorSeconds() const {
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  // The second field is the program's name in parentheses, which may contain blanks. The fields from the
  // third on follow it; user and system time are the 14th and the 15th field (proc(5)).
  size_t name_end = text.rfind(')');
  if (name_end == std::string::npos) return 0;
  std::istringstream fields(text.substr(name_end + 2));
  std::string skipped;
  for (int field = 3; field < 14; ++field) fields >> skipped;
  double user_ticks = 0, system_ticks = 0;
  fields >> user_ticks >> system_ticks;
  return (user_ticks + system_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ChildProcess::MaxResidentMb() const {
  const std::string field = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind(field, 0) == 0) return std::atof(line.c_str() + field.size()) / 1024;
  }
  return 0;
}

}  // namespace gateway::lab
