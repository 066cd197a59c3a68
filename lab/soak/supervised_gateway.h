// A real gateway process in a soak and the actions of its supervisor.
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

// The state of a gateway as its clients know it.
struct GatewayView {
  int port = 0;
  bool in_service = false;  // clients may open new connections to the gateway
  int kills = 0;            // number of SIGKILLs so far, each counted before it is sent
};

// Runs and restarts one gateway process. Thread-safe. Kill() and Restart() do nothing while another call of
// either is in progress.
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

  // Starts the process with this endpoint list and waits until it is ready, but no longer than 10 s.
  void Start(const nlohmann::json& cached_list);
  // Stops the process by SIGSTOP and continues it after `duration_s`.
  void Pause(double duration_s);
  // Kills the process and starts it again.
  void Kill(const nlohmann::json& cached_list);
  // Sends SIGTERM, repeats it once or until the process has ended, and sends one or two SIGHUPs. Sends
  // SIGKILL at the earliest time allowed if the process still runs, and starts it again. `draw` seeds the
  // random choices.
  void Restart(const nlohmann::json& cached_list, uint64_t draw);
  // Sends SIGTERM and waits for the process to end. Sends SIGKILL at the earliest time allowed.
  void Terminate();
  // Replaces the configuration file and, if the gateway is in service, sends SIGHUP `times` times.
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
  std::mutex mutex_;  // protects the process and its configuration
  nlohmann::json cached_list_;
  std::unique_ptr<TemporaryFile> configuration_;
  std::unique_ptr<ChildProcess> process_;
  std::atomic<bool> in_service_{false};
  std::atomic<int> kills_{0};
  std::atomic<bool> restarting_{false};  // Kill() or Restart() is in progress
};

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_SUPERVISED_GATEWAY_H_
