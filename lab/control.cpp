#include "lab/control.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "lab/agent.h"

namespace gateway::lab {
namespace {

using boost::asio::ip::tcp;
using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

double SecondsSince(SteadyClock::time_point begun) {
  return std::chrono::duration<double>(SteadyClock::now() - begun).count();
}

// A port of loopback that is free now.
int FreePort() {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

json GatewayConfig(int listen, const Agent& agent) {
  auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
  json cls = {{"name", "thumb"},     {"effect", "free"},     {"aim-s", 1.2},
              {"hard-limit-s", 4.0}, {"window-s", 5.0},      {"importance", 1.0},
              {"late-share", 0.0},   {"dedup-scope", "all"}, {"streamed", false}};
  json plan = {{"name", "basic"},      {"units-per-s", 3.0}, {"store-size", 12.0},  {"never-over-rate", 0.0},
               {"ceiling-burst", 0.0}, {"cap-slack", 0.0},   {"excess-worth", 0.0}, {"over-cost", 0.5},
               {"value-factor", 1.3},  {"parallel", 0}};
  json settings = {
      {"me", 0},
      {"peers-total", 780},
      {"zone", 0},
      {"zones", {"a", "b", "c", "d", "e", "f", "g"}},
      {"kinds", {"m2"}},
      {"resolution-s", 0.001},
      {"discovery", "pushed"},
      {"specifics",
       {{"units-top", 6}, {"may-count", false}, {"counter-timeout-s", 0.03}, {"counter-price", 0.01}}},
      {"prices", {{"cross-zone", 0.012}}},
      {"limits",
       {{"cancel", true},
        {"parallel-tries", true},
        {"retry-after", true},
        {"max-retry-after-s", 1.0},
        {"try-limit", 6},
        {"conn-idle-s", 15.0},
        {"connect-timeout-s", 0.25}}},
      {"invariants",
       {{"cold-from", 0.17},
        {"warm-after-s", 17.0},
        {"tip-multiple", 4.0},
        {"tip-after-s", 1.0},
        {"ask-within-s", 10.0},
        {"drain-grace-s", 2.0}}},
      {"request-classes", json::array({cls})},
      {"tiers-of-service", json::array({plan})}};
  return {{"name", "n0"},
          {"listen", at(listen)},
          {"discovery", at(agent.port())},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 256}, {"sockets", 1024}}},
          {"known", json::parse(agent.Whole())},
          {"settings", settings}};
}

// A gateway process, ended with SIGKILL at the latest when this goes.
class Process {
 public:
  Process(const std::string& program, const json& config) {
    char path[] = "/tmp/gateway-lab-XXXXXX";
    int file = mkstemp(path);
    if (file < 0) throw std::runtime_error("cannot write a configuration");
    close(file);
    path_ = path;
    std::ofstream(path_) << config.dump();
    pid_ = fork();
    if (pid_ == 0) {
      setenv("LB_CONFIG", path, 1);
      int null = open("/dev/null", O_WRONLY);
      dup2(null, 1);
      dup2(null, 2);
      execl(program.c_str(), program.c_str(), static_cast<char*>(nullptr));
      _exit(127);
    }
  }
  ~Process() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
    unlink(path_.c_str());
  }
  bool Alive() {
    if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = -1;
    return pid_ > 0;
  }
  // Of user and system together.
  double CpuSeconds() const {
    std::ifstream stat("/proc/" + std::to_string(pid_) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    size_t end = text.rfind(')');
    if (end == std::string::npos) return 0;
    std::istringstream rest(text.substr(end + 2));
    std::string skip;
    for (int i = 0; i < 11; ++i) rest >> skip;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
  }
  double MostMb() const {
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmHWM:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
    }
    return 0;
  }

 private:
  pid_t pid_ = -1;
  std::string path_;
};

bool Ready(int port) {
  try {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)));
    std::string ask = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", answer;
    boost::asio::write(socket, boost::asio::buffer(ask));
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer, 4096), end);
    return answer.rfind("HTTP/1.1 200", 0) == 0;
  } catch (const boost::system::system_error&) {
    return false;
  }
}

}  // namespace

ControlCount RunControl(const ControlSpec& spec) {
  Agent agent(spec.backends, spec.changes_per_s);
  int port = FreePort();
  json config = GatewayConfig(port, agent);
  ControlCount count;
  count.list_bytes = static_cast<double>(agent.Whole().size());
  auto begun = SteadyClock::now();
  Process gateway(spec.gateway, config);
  while (!Ready(port)) {
    if (!gateway.Alive()) throw std::runtime_error("cannot start " + spec.gateway);
    if (SecondsSince(begun) > 30) throw std::runtime_error(spec.gateway + " is not ready in 30 s");
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  count.ready_s = SecondsSince(begun);
  count.start_cpu_s = gateway.CpuSeconds();
  uint64_t bytes = agent.bytes(), calls = agent.calls();
  auto ready = SteadyClock::now();
  std::this_thread::sleep_for(std::chrono::duration<double>(spec.seconds));
  double span = SecondsSince(ready);
  count.cpu_share = (gateway.CpuSeconds() - count.start_cpu_s) / span;
  count.bytes_per_s = static_cast<double>(agent.bytes() - bytes) / span;
  count.calls_per_s = static_cast<double>(agent.calls() - calls) / span;
  count.resident_mb = gateway.MostMb();
  if (!gateway.Alive()) throw std::runtime_error(spec.gateway + " ended by itself");
  return count;
}

}  // namespace gateway::lab
