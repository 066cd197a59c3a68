// Stand-ins for the services that a gateway uses in a soak: the discovery agent, the counter and the
// backends.
#ifndef GATEWAY_LAB_SOAK_STAND_INS_H_
#define GATEWAY_LAB_SOAK_STAND_INS_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "lab/soak/connection.h"
#include "lab/soak/history.h"

namespace gateway::lab::soak {

enum class ListState { kReady, kDraining, kGone };

// Serves the endpoint list as the discovery agent does, on two ports. A gateway may be configured with either
// port. A notice is recorded once a change is listed and the agent is not silent.
class DiscoveryStandIn {
 public:
  // `ports` holds the ports of the backends.
  DiscoveryStandIn(History* history, const std::vector<int>& ports);
  ~DiscoveryStandIn();

  int port(int which) const { return which == 0 ? first_.port() : second_.port(); }
  // Returns the endpoint list in the format of discovery.
  nlohmann::json FullList();

  void SetState(int backend, ListState state);
  void SetSilent(bool silent);
  void EndConnections();

 private:
  struct Entry {
    int port = 0;
    ListState state = ListState::kReady;
    uint64_t changed_at_index = 1;
    std::optional<size_t> notice;  // index of the notice in History
    bool notice_due = false;       // a notice has to be recorded once the agent is not silent
  };

  void Serve(Connection& connection);
  std::string AwaitReply(long after, double wait_s);
  nlohmann::json Describe(size_t backend) const;
  nlohmann::json List(long after) const;
  void RecordNotice(int backend);

  History* const history_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  bool silent_ = false;
  uint64_t index_ = 1;
  std::vector<Entry> entries_;
  Server first_;
  Server second_;
};

// Stands in for the counter service, on two ports.
class CounterStandIn {
 public:
  CounterStandIn();
  ~CounterStandIn() { silent_ = false; }

  int port(int which) const { return which == 0 ? first_.port() : second_.port(); }
  void SetSilent(bool silent) { silent_ = silent; }
  void LoseState();

 private:
  void Serve(Connection& connection);
  double Add(const std::string& key, double amount);

  std::atomic<bool> silent_{false};
  std::mutex mutex_;
  std::map<std::string, double> totals_;
  Server first_;
  Server second_;
};

// A backend that answers, fails, hangs or resets the connection. The outcome is drawn from the seed, the
// request id and the number of attempts that the backend has received.
class BackendStandIn {
 public:
  BackendStandIn(History* history, int number, uint64_t seed);

  int port() const { return server_.port(); }
  void SetHanging(bool hanging) { hanging_ = hanging; }
  void EndConnections() { server_.EndConnections(); }

 private:
  void Serve(Connection& connection);
  bool ServeRequest(Connection& connection);
  bool Answer(Connection& connection, size_t index, AttemptOutcome outcome, double service_s);

  History* const history_;
  const int number_;
  const uint64_t seed_;
  std::atomic<bool> hanging_{false};
  std::atomic<uint64_t> attempts_{0};
  Server server_;
};

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_STAND_INS_H_
