#include "lab/soak/supervised_gateway.h"

#include <chrono>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "lab/soak/connection.h"

namespace gateway::lab::soak {
namespace {

constexpr double kReadyTimeoutS = 10;
constexpr double kPollIntervalS = 0.005;
constexpr double kSignalIntervalS = 0.001;
constexpr double kNewConnectionsAfterTermS = 0.3;  // how long clients still connect after SIGTERM

void Sleep(double duration_s) { std::this_thread::sleep_for(std::chrono::duration<double>(duration_s)); }

bool AnswersReady(int port) {
  auto connection = Connection::Connect(port);
  Message response;
  return connection != nullptr && connection->Send("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n") &&
         connection->ReadMessage(1, &response) == ReadResult::kMessage && response.Status() == 200;
}

}  // namespace

SupervisedGateway::SupervisedGateway(History* history, Options options)
    : history_(history), options_(std::move(options)) {}

void SupervisedGateway::Start(const nlohmann::json& cached_list) {
  StartRecord start{options_.number, history_->Now(), -1};
  {
    std::lock_guard lock(mutex_);
    cached_list_ = cached_list;
    configuration_ = std::make_unique<TemporaryFile>(
        MakeConfiguration(options_.deployment, options_.addresses, cached_list_).dump());
    process_ = std::make_unique<ChildProcess>(options_.program, "LB_CONFIG", configuration_->path(),
                                              options_.log_path);
  }
  if (AwaitReady()) start.ready_s = history_->Now() - start.started_s;
  history_->AddStart(start);
  in_service_ = true;
}

bool SupervisedGateway::AwaitReady() {
  double end_s = history_->Now() + kReadyTimeoutS;
  while (history_->Now() < end_s) {
    if (AnswersReady(options_.addresses.listen_port)) return true;
    Sleep(kPollIntervalS);
  }
  return false;
}

void SupervisedGateway::Signal(int signal) {
  std::lock_guard lock(mutex_);
  if (process_ != nullptr) process_->Signal(signal);
}

void SupervisedGateway::Pause(double duration_s) {
  PauseRecord pause{options_.number, history_->Now(), 0};
  Signal(SIGSTOP);
  Sleep(duration_s);
  Signal(SIGCONT);
  pause.to_s = history_->Now();
  history_->AddPause(pause);
}

bool SupervisedGateway::AwaitExit(double timeout_s) {
  double end_s = history_->Now() + timeout_s;
  while (history_->Now() < end_s) {
    {
      std::lock_guard lock(mutex_);
      if (process_->ExitStatus().has_value()) return true;
    }
    Sleep(kPollIntervalS);
  }
  return false;
}

void SupervisedGateway::EndProcess(bool killed) {
  std::lock_guard lock(mutex_);
  std::optional<int> status = process_->ExitStatus();
  history_->AddExit({options_.number, history_->Now(), killed, status.value_or(0)});
  process_.reset();
}

void SupervisedGateway::Kill(const nlohmann::json& cached_list) {
  if (restarting_.exchange(true)) return;
  in_service_ = false;
  ++kills_;
  Signal(SIGKILL);
  EndProcess(true);
  Start(cached_list);
  restarting_ = false;
}

void SupervisedGateway::Restart(const nlohmann::json& cached_list, uint64_t draw) {
  if (restarting_.exchange(true)) return;
  Random random(draw);
  double repeat_after_s = random.Between(0, 0.4);
  if (random.Uniform() < 0.3) Signal(SIGHUP);
  std::atomic<bool> ended{false};
  // Half of the restarts send SIGTERM again and again until the process has ended, as an operator's tools do.
  std::thread signals([&, in_series = random.Uniform() < 0.5] {
    Sleep(repeat_after_s);
    Signal(SIGTERM);
    Signal(SIGHUP);
    while (in_series && !ended) {
      Signal(SIGTERM);
      Sleep(kSignalIntervalS);
    }
  });
  Terminate();
  ended = true;
  signals.join();
  Start(cached_list);
  restarting_ = false;
}

void SupervisedGateway::Terminate() {
  Signal(SIGTERM);
  Sleep(kNewConnectionsAfterTermS);
  in_service_ = false;
  bool ended = AwaitExit(options_.deployment.KillAfterS() - kNewConnectionsAfterTermS);
  if (!ended) {
    ++kills_;
    Signal(SIGKILL);
  }
  EndProcess(!ended);
}

void SupervisedGateway::Reload(int discovery_port, int counter_port, int times) {
  {
    std::lock_guard lock(mutex_);
    options_.addresses.discovery_port = discovery_port;
    options_.addresses.counter_port = counter_port;
    if (configuration_ == nullptr) return;
    std::string fresh = configuration_->path() + ".new";
    std::ofstream(fresh) << MakeConfiguration(options_.deployment, options_.addresses, cached_list_).dump();
    std::filesystem::rename(fresh, configuration_->path());
  }
  // Until a new process installs its handlers, SIGHUP has its default action and would end the process.
  if (!in_service_) return;
  for (int i = 0; i < times; ++i) Signal(SIGHUP);
}

GatewayView SupervisedGateway::View() const { return {options_.addresses.listen_port, in_service_, kills_}; }

int SupervisedGateway::OpenDescriptors() {
  std::lock_guard lock(mutex_);
  return process_ == nullptr ? 0 : process_->OpenDescriptors();
}

}  // namespace gateway::lab::soak
