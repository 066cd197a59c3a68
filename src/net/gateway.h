// The event loop's side of the admission policy: gives it what happens on sockets as events, and carries out
// its actions on the sockets. Decides nothing.
#ifndef GATEWAY_NET_GATEWAY_H_
#define GATEWAY_NET_GATEWAY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.h"
#include "net/backend_connection_pool.h"
#include "net/backend_membership.h"
#include "net/client_server.h"
#include "net/counter_client.h"
#include "net/discovery_client.h"
#include "net/endpoint_list.h"
#include "net/event_loop_monitor.h"
#include "net/graceful_shutdown.h"
#include "net/in_flight_requests.h"
#include "net/log.h"
#include "net/rejection_log.h"
#include "net/request_parser.h"
#include "net/timer_queue.h"
#include "policy/admission_policy.h"

namespace gateway::net {

// One gateway. Single-threaded: everything runs in handlers of `io`, and no handler runs within a call of the
// policy. A request is in `requests_` from its arrival until it is answered and no attempt of it is in
// flight; it gets exactly one final answer (Answer), or its client leaves first (OnConnectionClosed).
class Gateway : private TimerQueue::Handler {
 public:
  // Listens, and begins to follow discovery. `config` and `log` outlive the gateway. Throws
  // config::ConfigError where the cached endpoint list of the configuration is unreadable, and
  // boost::system::system_error where the address cannot be listened on.
  Gateway(asio::io_context& io, const config::GatewayConfig& config, Log* log);
  ~Gateway();

  tcp::endpoint local_endpoint() const { return server_.local_endpoint(); }

  // Begins a graceful shutdown; at its end `io` is stopped.
  void Shutdown();

  // Switches to the addresses of discovery and counter that `fresh` names. Returns the keys that differ and
  // need a restart. Throws config::ConfigError, and changes nothing, where `fresh` is another gateway's
  // configuration.
  std::vector<std::string> Reload(const config::GatewayConfig& fresh);

 private:
  // Policy.
  double PolicyTime(Clock::time_point at) const;
  template <typename Event>
  void NotifyPolicy(Event event);
  void CheckForStall(Clock::time_point now);
  void Execute(const policy::ForwardAttempt& action);
  void Execute(const policy::CancelAttempt& action);
  void Execute(const policy::RejectRequest& action);
  void Execute(const policy::FailRequest& action);
  void Execute(const policy::StartTimer& action);
  void Execute(const policy::CallCounter& action);
  void Execute(const policy::LogEvent& action);
  void Execute(const policy::PollDiscovery& action);

  // Clients.
  void OnClientMessage(uint64_t connection, ClientRequest message);
  void OnConnectionClosed(uint64_t connection, bool had_unanswered_request);
  void AnswerAdminRequest(uint64_t connection, std::string_view target);
  void ReplyStatus(uint64_t connection, http::status status);
  void CountEnd(RejectionLog::Cause cause, uint32_t request_id);
  void StartRequest(uint64_t connection, ClientRequest* message,
                    const ParsedRequest& parsed);  // takes the body
  void Answer(uint32_t request_id, Response response);

  // Attempts.
  bool MayForward(const InFlightRequest& request, uint32_t request_id, double timeout_s);
  void PostAttemptEnd(uint32_t request_id, int attempt, policy::CallResult result);
  void DropUnsentAttempts(uint32_t request_id);
  bool HasUnreadResponse(uint32_t request_id);
  void OnAttemptEnd(uint32_t request_id, int attempt, AttemptResult end);
  void ReportOutcome(uint32_t request_id, int attempt, const AttemptResult& end);

  // Discovery.
  void OnEndpointList(const EndpointList& list, policy::EndpointUpdateKind kind);
  void OnDiscoveryFailed();
  void BecomeReady();

  // TimerQueue::Handler.
  void OnRequestDeadline(uint32_t request_id) override;
  void OnPolicyTimer(uint64_t tag) override;
  void OnTimersDue() override { CheckForStall(Clock::now()); }
  void OnTimersHandled() override;

  asio::io_context& io_;
  const config::GatewayConfig& config_;
  Log& log_;
  const double clock_offset_s_;  // the system's clock at the monotonic clock's zero
  EndpointIds endpoint_ids_;
  BackendConnectionPool pool_;
  BackendMembership membership_;
  ClientServer server_;
  std::optional<CounterClient> counter_;  // none where the configuration names none
  DiscoveryClient discovery_;
  InFlightRequests requests_;
  TimerQueue timers_;
  EventLoopMonitor event_loop_monitor_;
  GracefulShutdown shutdown_;
  RejectionLog rejection_log_;
  bool ready_ = false;  // discovery has given a list, or failed once
  // The request for which the policy's OnRequest is being called. Its client was there a moment ago.
  uint32_t arriving_request_id_ = kNoRequest;
  policy::Actions actions_, executing_actions_;
  std::optional<policy::AdmissionPolicy> policy_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_GATEWAY_H_
