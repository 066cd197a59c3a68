// A real gateway process in a soak, and what its supervisor does to it.
#ifndef GATEWAY_LAB_SOAK_SUPERVISED_GATEWAY_H_
#define GATEWAY_LAB_SOAK_SUPERVISED_GATEWAY_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "lab/child_process.h"
#include "lab/soak/deployment.h"
#include "lab/soak/history.h"

namespace gateway::lab::soak {

// What clients know of a gateway.
struct GatewayView {
  int port = 0;
  bool in_service = false;  // ready, and not told to end
  int kills = 0;            // so far; counted before the signal is sent
};

// Thread-safe. A gateway that is being restarted is not restarted or killed by another event meanwhile.
class SupervisedGateway {
 public:
  struct Options {
    int number = 0;
    std::string program;
    Deployment deployment;
    GatewayAddresses addresses;
    std::string log_path;
  };

  SupervisedGateway(History* history, Options options);

  // Starts the process with this endpoint list and waits until it is ready, or for the limit.
  void Start(const nlohmann::json& known);
  void Hold(double duration_s);
  // Kills the process and starts it again.
  void Kill(const nlohmann::json& known);
  // SIGTERM, again after a while, sometimes SIGHUP, and SIGKILL at the earliest; then starts it again.
  void Restart(const nlohmann::json& known, uint64_t draw);
  // SIGTERM; waits for its end, with SIGKILL at the earliest.
  void Terminate();
  // Replaces the configuration and sends SIGHUP `times` times.
  void Reload(int discovery_port, int counter_port, int times);

  GatewayView View() const;
  int OpenDescriptors();

 private:
  void WriteConfiguration();
  void Signal(int signal);
  bool AwaitExit(double timeout_s);
  void EndProcess(bool killed);
  bool AwaitReady();

  History* const history_;
  Options options_;
  std::mutex mutex_;  // of the process and its configuration
  nlohmann::json known_;
  std::unique_ptr<TemporaryFile> configuration_;
  std::unique_ptr<ChildProcess> process_;
  std::atomic<bool> in_service_{false};
  std::atomic<int> kills_{0};
  std::atomic<bool> busy_{false};  // being killed or restarted
};

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_SUPERVISED_GATEWAY_H_
