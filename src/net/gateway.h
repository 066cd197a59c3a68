// Connects the admission policy to the network: translates socket and timer activity into policy events, and
// executes the actions that the policy returns. Admission, routing and retry decisions are the policy's.
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
#include "net/response_fault_log.h"
#include "net/timer_queue.h"
#include "policy/admission_policy.h"

namespace gateway::net {

// Every request gets exactly one final response (Answer), unless its client disconnects first
// (OnConnectionClosed). A request stays in `requests_` from its arrival until it has been answered and none
// of its attempts is in flight.
//
// Single-threaded: all code runs in handlers of `io`, and no handler runs during a call to the policy.
class Gateway : private TimerQueue::Handler {
 public:
  // Starts listening for clients and watching discovery. `config` and `log` must outlive the gateway. Throws
  // config::ConfigError if the cached endpoint list in the configuration is invalid, and
  // boost::system::system_error if the gateway cannot listen on its address.
  Gateway(asio::io_context& io, const config::GatewayConfig& config, Log* log);
  ~Gateway();

  tcp::endpoint local_endpoint() const { return server_.local_endpoint(); }

  // Starts a graceful shutdown, which stops `io` when it is complete.
  void Shutdown();

  // Switches to the discovery and counter addresses in `new_config`. Returns the keys whose changed values
  // take effect only after a restart. Throws config::ConfigError and changes nothing if `new_config` belongs
  // to another gateway.
  std::vector<std::string> Reload(const config::GatewayConfig& new_config);

 private:
  // Policy.
  double PolicyTimeS(Clock::time_point at) const;
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
  void OnClientMessage(uint64_t connection, ClientRequest message, Clock::duration held_back);
  void OnConnectionClosed(uint64_t connection, bool had_unanswered_request);
  void AnswerAdminRequest(uint64_t connection, std::string_view target);
  void ReplyStatus(uint64_t connection, http::status status);
  void CountEndedRequest(RejectionLog::Cause cause, uint32_t request_id);
  void StartRequest(uint64_t connection, ClientRequest* message,
                    const ParsedRequest& parsed);  // moves the body out of `message`
  void Answer(uint32_t request_id, Response response);

  // Attempts.
  bool MayForward(const InFlightRequest& request, uint32_t request_id, double timeout_s);
  void PostAttemptEnd(uint32_t request_id, int attempt, policy::CallResult result);
  void DropUnsentAttempts(uint32_t request_id);
  bool MustReadResponseFirst(uint32_t request_id, UnreadBytesGrace InFlightAttempt::*grace);
  void OnAttemptEnded(uint32_t request_id, int attempt, AttemptResult end);
  void ReportOutcome(uint32_t request_id, int attempt, const AttemptResult& end);

  // Discovery.
  void OnEndpointList(const EndpointList& list, policy::EndpointUpdateKind kind);
  void OnDiscoveryFailed();
  void MarkReady();

  // TimerQueue::Handler.
  void OnRequestDeadline(uint32_t request_id) override;
  void OnPolicyTimer(uint64_t tag) override;
  bool IsAwaitingDeadline(uint32_t request_id) override;
  void OnTimersDue() override { CheckForStall(Clock::now()); }
  void OnTimersHandled() override;

  asio::io_context& io_;
  const config::GatewayConfig& config_;
  Log& log_;
  const double clock_offset_s_;  // system time at the zero of the monotonic clock
  EndpointIds endpoint_ids_;
  BackendConnectionPool pool_;
  BackendMembership membership_;
  ClientServer server_;
  std::optional<CounterClient> counter_;  // empty if no counter is configured
  DiscoveryClient discovery_;
  InFlightRequests requests_;
  TimerQueue timers_;
  EventLoopMonitor event_loop_monitor_;
  GracefulShutdown shutdown_;
  RejectionLog rejection_log_;
  ResponseFaultLog response_fault_log_;
  bool ready_ = false;  // discovery has returned an endpoint list or failed once
  // The request for which the policy's OnRequest is running, or kNoRequest. Its client was found to be
  // connected just before.
  uint32_t arriving_request_id_ = kNoRequest;
  policy::Actions actions_, executing_actions_;
  std::optional<policy::AdmissionPolicy> policy_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_GATEWAY_H_
