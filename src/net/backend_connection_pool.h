// The pool of connections to all backends. It chooses the connection that an attempt is sent on and decides
// when connections are closed.
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

// State of an attempt at the time when Cancel was called for it.
enum class CancelResult {
  kAlreadyEnded,  // the attempt's completion has run or is about to run
  kNotSent,       // the request was not completely written, so it has not run
  kMayHaveRun,    // the request was completely written
};

// Sends attempts to backends on idle or new connections and reports one outcome for each. The caller chooses
// the backend of an attempt; the pool only refuses a backend that is not listed or whose drain grace is over.
//
// A request is sent on the most recently used idle connection of its backend. Connections are closed when
// their backend drains, is removed, changes its address or restarts, and when they have been idle for too
// long. When the pool is full, the connection that has been idle longest is closed. All calls must be made on
// the thread of the io_context.
class BackendConnectionPool final : private BackendConnection::Owner {
 public:
  // Seconds after a response during which its connection carries no further request. This guards against a
  // backend that sends a second response some milliseconds after the first: on a connection that is reused at
  // once, that response would be taken for the response to the next request. A second response that arrives
  // within this time closes the connection instead.
  static constexpr double kMinIdleBeforeReuseS = 0.01;

  // `idle_s` is the time after which backends close an idle connection, or 0 if that time is not known.
  // `drain_grace_s` is the time for which a draining backend still accepts new requests. `max_connections`
  // limits the connections to all backends together, whether idle, connecting or carrying an attempt.
  BackendConnectionPool(asio::io_context& io, double idle_s, double connect_timeout_s, double drain_grace_s,
                        size_t max_connections, double min_idle_before_reuse_s = kMinIdleBeforeReuseS);
  // Aborts all attempts without calling their completions.
  ~BackendConnectionPool();
  BackendConnectionPool(const BackendConnectionPool&) = delete;
  BackendConnectionPool& operator=(const BackendConnectionPool&) = delete;

  // Adds the backend, changes its address, begins a new incarnation of it or ends its drain. Must be called
  // when discovery lists the backend as ready. `started_at_s` is the time of its last start, or 0 for long
  // ago.
  //
  // A backend that has another address or a later start is another process. The machine of the one before may
  // be silent, so that its connections stay open: nothing more is sent on them. Requests that are completely
  // written may still be answered.
  void Update(uint32_t backend, const tcp::endpoint& address, double started_at_s = 0);
  // Marks the backend as draining. No request is sent to it once the drain grace has passed since
  // `notified_at`, the time at which the gateway counts as notified, which may be earlier than the time at
  // which it read the list. Does nothing if the backend is not listed or is already draining.
  void Drain(uint32_t backend, Clock::time_point notified_at);
  // Removes the backend. No new attempt is sent to it, and an attempt that is still connecting fails once it
  // is connected. Other attempts in flight continue.
  void Remove(uint32_t backend);

  // Sends an attempt and returns its id, which Cancel takes. `on_complete` runs exactly once, never within
  // this call, unless Cancel or CancelIfUnsent ends the attempt. `still_wanted` is called after each wait for
  // the connection to be established or for its socket to become writable; if it returns false, the attempt
  // ends with kNeverSent.
  //
  // An attempt without a response ends with one of these results:
  // - kConnectFailed if the backend is not listed, accepts no new requests or could not be reached. The
  //   request may then be sent to another backend.
  // - kNeverSent if all of this gateway's connections are in use or it cannot open another socket.
  // - kTimeout or kReset only if the request may have run.
  uint64_t Send(
      uint32_t backend, SerializeFn serialize, double timeout_s, CompletionFn on_complete,
      StillWantedFn still_wanted = [] { return true; });

  // Closes the attempt's connection immediately. The completion does not run, unless the attempt has already
  // ended.
  CancelResult Cancel(uint64_t attempt);

  // Cancels the attempt if its request is not completely written. Returns whether the attempt was cancelled.
  bool CancelIfUnsent(uint64_t attempt);

  // Returns whether a time-out of the attempt, which is due, has to wait until bytes of a response have been
  // read.
  bool MustReadFirst(uint64_t attempt, UnreadBytesGrace* grace) const;

  void CloseIdle();

  size_t connections() const { return connections_; }

 private:
  using IdleOrder = std::list<BackendConnection*>;
  struct IdleConnection {
    std::shared_ptr<BackendConnection> connection;
    IdleOrder::iterator order;  // position in idle_order_
  };
  struct Backend {
    tcp::endpoint address;
    double started_at_s = 0;   // the latest that was listed
    uint64_t incarnation = 0;  // never that of another backend or of an earlier process of this one
    bool draining = false;
    Clock::time_point no_send_after{};  // only set while the backend is draining
    std::vector<IdleConnection> idle;   // ordered by last use, the most recently used connection last
  };

  bool MaySend(const BackendConnection& connection) const override;
  void OnAttemptEnded(uint64_t attempt) override;
  bool KeepIdle(std::shared_ptr<BackendConnection> connection) override;
  void OnIdleClosing(BackendConnection* connection) override;
  void OnClosed() override;

  Backend* Find(uint32_t backend);
  const Backend* Find(uint32_t backend) const;
  static bool AcceptsNewRequests(const Backend& backend);
  std::shared_ptr<BackendConnection> TakeIdle(Backend* backend);
  std::shared_ptr<BackendConnection> OpenNew(uint32_t id, const Backend& backend);
  bool EnsureCapacity();
  void BeginIncarnation(uint32_t id, Backend* backend);
  static bool IsCurrent(const BackendConnection& connection, const Backend& backend);
  void CloseIdleConnections(Backend* backend);
  void CloseLongestIdle();

  asio::io_context& io_;
  const BackendConnection::Timeouts timeouts_;
  const Clock::duration drain_grace_, min_idle_before_reuse_;
  const size_t max_connections_;
  size_t connections_ = 0;
  uint64_t last_attempt_ = 0;
  uint64_t last_incarnation_ = 0;
  std::unordered_map<uint32_t, std::unique_ptr<Backend>> backends_;
  // Connections by the id of the attempt that they carry. The map holds the pool's reference to such a
  // connection.
  std::unordered_map<uint64_t, std::shared_ptr<BackendConnection>> in_flight_;
  IdleOrder idle_order_;  // idle connections of all backends, the longest idle first
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_CONNECTION_POOL_H_
