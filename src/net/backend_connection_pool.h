// Connections to backends, the attempts on them and how these end. Decides nothing: it sends where it is told
// and reports one outcome for each attempt.
#ifndef GATEWAY_NET_BACKEND_CONNECTION_POOL_H_
#define GATEWAY_NET_BACKEND_CONNECTION_POOL_H_

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "net/clock.h"
#include "net/http_util.h"
#include "policy/admission_policy.h"

namespace gateway::net {

struct AttemptResult {
  policy::CallResult result = policy::CallResult::kOk;
  double took_s = 0;
  double true_units = 0;
  std::string headers;  // end-to-end header lines of a good answer
  std::string body;
};

class BackendConnectionPool {
 public:
  using Done = std::function<void(AttemptResult)>;
  using Wanted = std::function<bool()>;
  // The message, made as it is about to be written, so that it tells what is left of the patience then.
  using Compose = std::function<std::string(double left_s)>;
  // s after an answer in which its connection takes no further request. A second answer may come some
  // milliseconds behind the first, and would pass for that to the next request.
  static constexpr double kSettleS = 0.01;

  BackendConnectionPool(asio::io_context& io, double idle_s, double connect_timeout_s, double drain_grace_s,
                        size_t most_connections, double settle_s = kSettleS);
  ~BackendConnectionPool();

  void Update(uint32_t backend, tcp::endpoint address);  // ready: named by discovery
  // Told at `told` to be draining, perhaps a while before it was read: nothing new after the grace from then.
  void Drain(uint32_t backend, Clock::time_point told);
  void Remove(uint32_t backend);  // told to be gone: nothing new at all

  // Sends what `compose` gives on a kept connection or a new one. `done` runs exactly once, never within this
  // call, unless Cancel ends the attempt. Returns the attempt's number for Cancel. After each wait, for a
  // connection or for room in one, `wanted` is asked before a byte goes out; where nobody waits for it any
  // more, the attempt ends as never sent.
  uint64_t Send(
      uint32_t backend, Compose compose, double patience_s, Done done, Wanted wanted = [] { return true; });

  // Closes the attempt's connection at once. False if it has ended already. `done` is not run.
  bool Cancel(uint64_t attempt, bool* may_have_run);

  // The same, but only for one that has not been written whole, on a connection that is up or still to come.
  bool DropUnsent(uint64_t attempt);

  void CloseIdle();
  size_t connections() const { return connections_; }

 private:
  struct Backend;
  class Connection;

  Backend* Find(uint32_t id);
  bool MakeRoom();

  asio::io_context& io_;
  const Clock::duration idle_, connect_timeout_, drain_grace_, settle_;
  const size_t most_;
  size_t connections_ = 0;
  uint64_t last_attempt_ = 0;
  std::unordered_map<uint32_t, std::unique_ptr<Backend>> backends_;
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> out_;  // attempts out, by number
  std::list<Connection*> idle_order_;                              // longest idle first
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_CONNECTION_POOL_H_
