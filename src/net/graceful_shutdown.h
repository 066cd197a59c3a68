// The end of a gateway after SIGTERM: it finishes what it has taken, serves what still comes, and stops the
// event loop.
#ifndef GATEWAY_NET_GRACEFUL_SHUTDOWN_H_
#define GATEWAY_NET_GRACEFUL_SHUTDOWN_H_

#include "net/client_server.h"
#include "net/clock.h"
#include "net/in_flight_requests.h"

namespace gateway::net {

// The states follow one another by time. In each but the first, every response ends its connection, and the
// event loop is stopped as soon as the state allows it and no work is left.
//
//   kServing             before SIGTERM
//   kAcceptingArrivals   clients that have not heard of the shutdown still send requests on new and on cached
//                        connections; the gateway does not stop, even without work
//   kDraining            idle connections are closed; requests are served until the answer deadline, after
//                        which connections with an incomplete request are closed too
//
// At the stop deadline the event loop stops whatever is left.
class GracefulShutdown {
 public:
  enum class State { kServing, kAcceptingArrivals, kDraining };

  // `server` and `requests` outlive this object. `longest_deadline_s`: of all request classes.
  GracefulShutdown(asio::io_context& io, ClientServer& server, const InFlightRequests& requests,
                   double longest_deadline_s);

  // Called again it does nothing.
  void Start();

  State state() const;
  bool started() const { return times_.has_value(); }

  // How long a request that arrives now may take at most, in s; not positive where there is no time left. An
  // answer later than that could be cut off by SIGKILL. Only while kDraining.
  double TimeForAnswer() const;

  // Stops the event loop if the state allows it and no work is left. To be called when work may have ended,
  // not from within a callback of the server.
  void StopIfDone();

 private:
  struct Times {
    Clock::time_point arrivals_end;
    Clock::time_point answer_deadline;
    Clock::time_point stop_deadline;
  };

  void OnArrivalsEnd();
  void OnAnswerDeadline();
  void OnStopDeadline();

  asio::io_context& io_;
  ClientServer& server_;
  const InFlightRequests& requests_;
  const double longest_deadline_s_;
  std::optional<Times> times_;  // from Start() on
  asio::steady_timer timer_;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_GRACEFUL_SHUTDOWN_H_
