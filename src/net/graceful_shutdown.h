// Graceful shutdown of a gateway after SIGTERM: it completes the accepted requests, serves those that still
// arrive, and then stops the event loop.
#ifndef GATEWAY_NET_GRACEFUL_SHUTDOWN_H_
#define GATEWAY_NET_GRACEFUL_SHUTDOWN_H_

#include "net/client_server.h"
#include "net/clock.h"
#include "net/in_flight_requests.h"

namespace gateway::net {

// The state depends on the time since the shutdown started:
//
//   kServing             The shutdown has not started.
//   kAcceptingRequests   Clients that do not know of the shutdown still send requests on new and on reused
//                        connections. The event loop keeps running even if no work is left.
//   kDraining            Idle connections are closed. Requests are served until the answer deadline, after
//                        which connections with an incomplete request are closed too. The event loop stops as
//                        soon as no work is left.
//
// After the shutdown has started, connections are closed after their responses
// (ClientServer::CloseAfterResponses). At the stop deadline the event loop stops even if work is left.
class GracefulShutdown {
 public:
  enum class State { kServing, kAcceptingRequests, kDraining };

  // `server` and `requests` must outlive this object. `longest_deadline_s` is the longest deadline of all
  // request classes.
  GracefulShutdown(asio::io_context& io, ClientServer& server, const InFlightRequests& requests,
                   double longest_deadline_s);

  // Starts the shutdown. Further calls do nothing.
  void Start();

  State state() const;
  bool started() const { return times_.has_value(); }

  // Returns how many seconds a request that arrives now may take at most; zero or negative if no time is
  // left. A later response could be cut off by SIGKILL. Must be called only in state kDraining.
  double AnswerTimeLeftS() const;

  // Stops the event loop if the state is kDraining and no work is left. Must be called when work may have
  // ended, but not during a callback of the server.
  void StopIfDone();

 private:
  struct Times {
    Clock::time_point accepting_end;
    Clock::time_point answer_deadline;
    Clock::time_point stop_deadline;
  };

  void OnAcceptingEnd();
  void OnAnswerDeadline();
  void OnStopDeadline();

  asio::io_context& io_;
  ClientServer& server_;
  const InFlightRequests& requests_;
  const double longest_deadline_s_;
  std::optional<Times> times_;  // set by Start()
  asio::steady_timer timer_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_GRACEFUL_SHUTDOWN_H_
