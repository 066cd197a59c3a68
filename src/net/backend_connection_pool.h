// The connections to all backends: which of them an attempt is sent on, and which are closed.
#ifndef GATEWAY_NET_BACKEND_CONNECTION_POOL_H_
#define GATEWAY_NET_BACKEND_CONNECTION_POOL_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/attempt_result.h"
#include "net/backend_connection.h"
#include "net/clock.h"
#include "net/socket_util.h"

namespace gateway::net {

// What Cancel found.
enum class CancelResult {
  kAlreadyEnded,  // the attempt's completion has run or is about to
  kNotSent,       // not all of the request was written: it has not run
  kMayHaveRun,    // all of the request was written
};

// Sends attempts to backends on idle or new connections and reports one outcome for each. Which backend an
// attempt goes to is decided elsewhere; the pool only refuses one that is not listed or is draining for
// longer than its grace.
//
// A request goes out on the idle connection of its backend that was used last. Connections are closed when
// their backend drains, is removed or changes its address, when they have been idle for too long, and, the
// longest idle first, when the pool is full. Runs on the thread of its io_context.
class BackendConnectionPool final : private BackendConnection::Owner {
 public:
  // s after a response in which its connection takes no further request. Guards against a backend that sends
  // a second response some milliseconds after the first: on a connection that is used again at once it would
  // pass for the response to the next request. Within this time it closes the connection instead.
  static constexpr double kMinIdleBeforeReuseS = 0.01;

  // `idle_s`: after which backends close an idle connection. `connect_timeout_s`: for a connection to come
  // up. `drain_grace_s`: in which a draining backend still takes new requests. `max_connections`: idle,
  // connecting and with an attempt, of all backends together.
  BackendConnectionPool(asio::io_context& io, double idle_s, double connect_timeout_s, double drain_grace_s,
                        size_t max_connections, double min_idle_before_reuse_s = kMinIdleBeforeReuseS);
  // Ends all attempts without their completions.
  ~BackendConnectionPool();
  BackendConnectionPool(const BackendConnectionPool&) = delete;
  BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;

  // Discovery lists the backend as ready at `address`.
  void Update(uint32_t backend, const tcp::endpoint& address);
  // Discovery lists the backend as draining, which counts as notified at `notified_at`, perhaps a while
  // before it was read: nothing is sent after the grace from then on. No-op for one that is not listed or is
  // draining already.
  void Drain(uint32_t backend, Clock::time_point notified_at);
  // Discovery lists the backend as gone: no new attempt is sent at all. Attempts that are written run on.
  void Remove(uint32_t backend);

  // Sends an attempt. Returns its id, for Cancel. `on_complete` runs exactly once, never within this call,
  // unless Cancel or CancelIfUnsent ends the attempt. `still_wanted` is called after each wait, for a
  // connection or for capacity in one; where it returns false, the attempt ends as kNeverSent.
  //
  // Other results than a response's: kConnectFailed where the backend is not listed, takes no new request or
  // was not reached, so that it may be sent elsewhere; kNeverSent where this gateway has no connection to
  // spare; kTimeout and kReset only for a request that may have run.
  uint64_t Send(
      uint32_t backend, SerializeFn serialize, double timeout_s, CompletionFn on_complete,
      StillWantedFn still_wanted = [] { return true; });

  // Closes the attempt's connection at once. The completion does not run, unless the attempt has ended
  // already.
  CancelResult Cancel(uint64_t attempt);

  // Cancels the attempt if not all of its request is written. Returns whether it did.
  bool CancelIfUnsent(uint64_t attempt);

  // Whether bytes of a response to the attempt have come that were not read yet.
  bool HasUnreadResponse(uint64_t attempt) const;

  // Closes all idle connections.
  void CloseIdle();

  size_t connections() const { return connections_; }

 private:
  using IdleOrder = std::list<BackendConnection*>;
  struct IdleConnection {
    std::shared_ptr<BackendConnection> connection;
    IdleOrder::iterator order;  // its place in idle_order_
  };
  struct Backend {
    tcp::endpoint address;
    bool draining = false;
    Clock::time_point no_send_after{};  // of a draining one
    std::vector<IdleConnection> idle;   // the most recently used last
  };

  bool MaySend(const BackendConnection& connection) const override;
  void OnAttemptEnded(uint64_t attempt) override;
  bool KeepIdle(std::shared_ptr<BackendConnection> connection) override;
  void OnIdleEnded(BackendConnection* connection) override;
  void OnClosed() override;

  Backend* Find(uint32_t backend);
  const Backend* Find(uint32_t backend) const;
  static bool TakesNewRequests(const Backend& backend);
  std::shared_ptr<BackendConnection> TakeIdle(Backend* backend);
  std::shared_ptr<BackendConnection> OpenNew(uint32_t id, const Backend& backend);
  bool MakeRoom();
  void CloseIdleOf(Backend* backend);
  void CloseOldestIdle();

  asio::io_context& io_;
  const BackendConnection::Timeouts timeouts_;
  const Clock::duration drain_grace_, min_idle_before_reuse_;
  const size_t max_connections_;
  size_t connections_ = 0;
  uint64_t last_attempt_ = 0;
  std::unordered_map<uint32_t, std::unique_ptr<Backend>> backends_;
  // By attempt. Holds the reference to a connection while an attempt is on it.
  std::unordered_map<uint64_t, std::shared_ptr<BackendConnection>> in_flight_;
  IdleOrder idle_order_;  // over all backends, the longest idle first
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_CONNECTION_POOL_H_
