#include "lab/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace gateway::lab {
namespace {

constexpr int kExitCannotExecute = 127;  // as shells report it

// Between fork and the program's start. Does not return.
[[noreturn]] void Execute(const std::string& program, const std::string& variable, const std::string& value) {
  setenv(variable.c_str(), value.c_str(), 1);
  int null = open("/dev/null", O_WRONLY);
  dup2(null, STDOUT_FILENO);
  dup2(null, STDERR_FILENO);
  execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
  _exit(kExitCannotExecute);
}

}  // namespace

TemporaryFile::TemporaryFile(const std::string& content) {
  char path[] = "/tmp/gateway-lab-XXXXXX";
  int file = mkstemp(path);
  if (file < 0) throw std::runtime_error("cannot write a configuration");
  close(file);
  path_ = path;
  std::ofstream(path_) << content;
}

TemporaryFile::~TemporaryFile() { unlink(path_.c_str()); }

ChildProcess::ChildProcess(const std::string& program, const std::string& variable,
                           const std::string& value) {
  pid_ = fork();
  if (pid_ == 0) Execute(program, variable, value);
}

ChildProcess::~ChildProcess() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

bool ChildProcess::IsRunning() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
  return pid_ > 0;
}

double ChildProcess::ProcessorSeconds() const {
  std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
  std::string text((std::istreambuf_iterator<char>(stat)), {});
  // The program's name, in parentheses, may hold blanks. After it come the fields from the third on; user and
  // system time are the 14th and 15th (proc(5)).
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
