#include "lab/soak/soak.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <list>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/soak/client.h"
#include "lab/soak/schedule.h"
#include "lab/soak/stand_ins.h"
#include "lab/soak/supervised_gateway.h"

namespace gateway::lab::soak {
namespace {

constexpr double kLagSampleIntervalS = 0.005;
constexpr double kMinLagS = 0.01;
// Time after the end of the clients within which a gateway has to close its idle connections to backends.
constexpr double kMaxIdleWaitS = 8;
// The descriptors of a gateway without load: 3 standard streams, 1 for the log, 3 of the event loop, 2 for
// signals, 1 listener, 2 for discovery, 8 for the counter, and 2 for the previous counter address.
constexpr int kMaxIdleDescriptors = 22;
constexpr int kReloadsPerSeries = 5;

void Sleep(double duration_s) { std::this_thread::sleep_for(std::chrono::duration<double>(duration_s)); }

// Measures the scheduling delay of the soak's own threads on a busy machine and records it as pauses.
class LagMeter {
 public:
  explicit LagMeter(History* history) : history_(history), thread_([this] { Run(); }) {}
  ~LagMeter() {
    stopping_ = true;
    thread_.join();
  }
  LagMeter(const LagMeter&) = delete;
  LagMeter& operator=(const LagMeter&) = delete;

 private:
  void Run() {
    while (!stopping_) {
      double due_s = history_->Now() + kLagSampleIntervalS;
      Sleep(kLagSampleIntervalS);
      double now_s = history_->Now();
      if (now_s - due_s > kMinLagS) history_->AddPause({kAllGateways, due_s, now_s});
    }
  }

  History* const history_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

// Runs the soak of one seed.
class SoakRun {
 public:
  SoakRun(const SoakOptions& options, uint64_t seed)
      : options_(options), seed_(seed), random_(seed), deployment_(DrawDeployment(&random_)) {
    std::vector<int> ports;
    for (int i = 0; i < deployment_.backends; ++i) {
      backends_.push_back(std::make_unique<BackendStandIn>(&history_, i, seed));
      ports.push_back(backends_.back()->port());
    }
    discovery_ = std::make_unique<DiscoveryStandIn>(&history_, ports);
    cached_list_ = discovery_->FullList();
    for (int i = 0; i < deployment_.gateways; ++i) AddGateway(i);
  }

  SoakResult Run() {
    std::vector<ScheduledEvent> schedule = DrawSchedule(deployment_, options_.duration_s, &random_);
    StartGateways();
    {
      LagMeter lag_meter(&history_);
      std::list<Client> clients;
      for (int i = 0; i < deployment_.clients; ++i) {
        clients.emplace_back(&history_, &gateways_,
                             Client::Options{i, policy::MixBits(seed_ * 1000 + i), deployment_});
      }
      RunSchedule(schedule);
      for (Client& client : clients) client.Stop();
    }
    idle_clients_.clear();
    CheckDescriptors();
    EndGateways();
    SoakResult result{seed_, deployment_, history_.Take(), {}};
    result.violations = CheckHistory(deployment_, result.history);
    return result;
  }

 private:
  void AddGateway(int number) {
    SupervisedGateway::Options options;
    options.number = number;
    options.program = options_.program;
    options.deployment = deployment_;
    std::string name = "n";
    name += std::to_string(number);
    options.addresses = {name, FreePort(), discovery_->port(0), counter_.port(0)};
    options.log_path = options_.log_directory.empty() ? "/dev/null"
                                                      : options_.log_directory + "/" + std::to_string(seed_) +
                                                            "-" + options.addresses.name + ".log";
    gateways_.push_back(std::make_unique<SupervisedGateway>(&history_, options));
  }

  void StartGateways() {
    std::list<std::thread> starts;
    for (auto& gateway : gateways_) starts.emplace_back([&] { gateway->Start(cached_list_); });
    for (std::thread& start : starts) start.join();
  }

  void EndGateways() {
    std::list<std::thread> ends;
    for (auto& gateway : gateways_) ends.emplace_back([&] { gateway->Terminate(); });
    for (std::thread& end : ends) end.join();
  }

  void CheckDescriptors() {
    double end_s = history_.Now() + kMaxIdleWaitS;
    auto is_idle = [](const auto& gateway) { return gateway->OpenDescriptors() <= kMaxIdleDescriptors; };
    while (history_.Now() < end_s && !std::all_of(gateways_.begin(), gateways_.end(), is_idle)) Sleep(0.1);
    for (size_t i = 0; i < gateways_.size(); ++i) {
      int open = gateways_[i]->OpenDescriptors();
      if (open <= kMaxIdleDescriptors) continue;
      history_.AddLeak("gateway " + std::to_string(i) + " holds " + std::to_string(open) +
                       " descriptors while idle");
    }
  }

  // Runs each event on its own thread, so that events with a duration can overlap.
  void RunSchedule(const std::vector<ScheduledEvent>& schedule) {
    std::list<std::thread> events;
    double began_s = history_.Now();
    for (const ScheduledEvent& event : schedule) {
      Sleep(std::max(0.0, began_s + event.at_s - history_.Now()));
      history_.AddEvent(Describe(event));
      events.emplace_back([this, event] { RunEvent(event); });
    }
    Sleep(std::max(0.0, began_s + options_.duration_s - history_.Now()));
    for (std::thread& event : events) event.join();
  }

  void RunEvent(const ScheduledEvent& event) {
    auto target = static_cast<size_t>(event.target);
    switch (event.kind) {
      case EventKind::kPause: return gateways_[target]->Pause(event.duration_s);
      case EventKind::kKill: return gateways_[target]->Kill(cached_list_);
      case EventKind::kKillMost: return KillMost();
      case EventKind::kRestart:
        return gateways_[target]->Restart(cached_list_, policy::MixBits(seed_ + target));
      case EventKind::kReload: return ReloadAll();
      case EventKind::kReloadSeries:
        return gateways_[target]->Reload(discovery_->port(address_index_), counter_.port(address_index_),
                                         kReloadsPerSeries);
      case EventKind::kDiscoverySilent: return SilenceDiscovery(event.duration_s);
      case EventKind::kWatchesClosed: return discovery_->EndConnections();
      case EventKind::kBackendDrains: return RemoveBackend(event, ListState::kDraining);
      case EventKind::kBackendRemoved: return RemoveBackend(event, ListState::kGone);
      case EventKind::kBackendHangs:
        backends_[target]->SetHanging(true);
        Sleep(event.duration_s);
        return backends_[target]->SetHanging(false);
      case EventKind::kBackendResets: return backends_[target]->EndConnections();
      case EventKind::kCounterSilent:
        counter_.SetSilent(true);
        Sleep(event.duration_s);
        return counter_.SetSilent(false);
      case EventKind::kCounterLosesState: return counter_.LoseState();
      case EventKind::kExhaustConnections: return ExhaustConnections(target);
    }
  }

  void KillMost() {
    std::list<std::thread> kills;
    size_t count = gateways_.size() * 7 / 10;
    for (size_t i = 0; i < count; ++i) kills.emplace_back([this, i] { gateways_[i]->Kill(cached_list_); });
    for (std::thread& killed : kills) killed.join();
  }

  void ReloadAll() {
    address_index_ = 1 - address_index_;
    for (auto& gateway : gateways_) {
      gateway->Reload(discovery_->port(address_index_), counter_.port(address_index_), 1);
    }
  }

  void SilenceDiscovery(double duration_s) {
    std::lock_guard lock(silence_mutex_);
    SilenceRecord silence{history_.Now(), 0};
    discovery_->SetSilent(true);
    Sleep(duration_s);
    discovery_->SetSilent(false);
    silence.to_s = history_.Now();
    history_.AddSilence(silence);
  }

  // Lists the backend in the state `first` for half of the duration, then as gone, and finally as ready
  // again.
  void RemoveBackend(const ScheduledEvent& event, ListState first) {
    discovery_->SetState(event.target, first);
    Sleep(event.duration_s / 2);
    discovery_->SetState(event.target, ListState::kGone);
    Sleep(event.duration_s / 2);
    discovery_->SetState(event.target, ListState::kReady);
  }

  void ExhaustConnections(size_t gateway) {
    for (int i = 0; i < deployment_.idle_clients; ++i) {
      auto idle = Connection::Connect(gateways_[gateway]->View().port);
      std::lock_guard lock(idle_mutex_);
      if (idle != nullptr) idle_clients_.push_back(std::move(idle));
    }
  }

  const SoakOptions options_;
  const uint64_t seed_;
  Random random_;
  const Deployment deployment_;
  History history_;
  std::vector<std::unique_ptr<BackendStandIn>> backends_;
  std::unique_ptr<DiscoveryStandIn> discovery_;
  CounterStandIn counter_;
  nlohmann::json cached_list_;
  Gateways gateways_;
  std::atomic<int> address_index_{0};  // which of the two addresses of discovery and the counter is used
  std::mutex silence_mutex_;
  std::mutex idle_mutex_;
  std::vector<std::unique_ptr<Connection>> idle_clients_;
};

}  // namespace

SoakResult RunSoak(const SoakOptions& options, uint64_t seed) { return SoakRun(options, seed).Run(); }

void RunSoaks(const SoakOptions& options, const std::function<bool()>& stopped,
              const std::function<void(const SoakResult&)>& on_result) {
  std::atomic<int> next{0};
  std::mutex result_mutex;
  std::list<std::thread> workers;
  for (int i = 0; i < std::min(options.jobs, options.seeds); ++i) {
    workers.emplace_back([&] {
      for (int seed = next++; seed < options.seeds && !stopped(); seed = next++) {
        SoakResult result = RunSoak(options, options.first_seed + static_cast<uint64_t>(seed));
        std::lock_guard lock(result_mutex);
        on_result(result);
      }
    });
  }
  for (std::thread& worker : workers) worker.join();
}

}  // namespace gateway::lab::soak
