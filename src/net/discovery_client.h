// The client of discovery. It polls the full endpoint list first and then follows changes with one watch
// after another.
#ifndef GATEWAY_NET_DISCOVERY_CLIENT_H_
#define GATEWAY_NET_DISCOVERY_CLIENT_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/settings_parser.h"
#include "net/clock.h"
#include "net/discovery_exchange.h"
#include "net/endpoint_list.h"
#include "net/log.h"
#include "net/socket_util.h"

namespace gateway::net {

// The client's timeouts and intervals.
//
// A change counts as notified as soon as discovery's agent has it, whether or not it reaches this gateway.
// The grace of a draining backend therefore also elapses while an exchange hangs, and from the moment at
// which the agent returns after an outage. The detection time is the part of that grace within which a
// hanging exchange must be noticed and the agent polled again: grace - connect timeout - margin, clamped to
// the limits below. Unless noted otherwise, fractions are fractions of the detection time. The agent runs on
// the gateway's machine and answers immediately, so short timeouts and additional calls cost little.
struct DiscoveryClientOptions {
  double min_detection_time_s = 0.25;
  // For short graces, min_detection_time_s is reduced to this fraction of the grace.
  double max_fraction_of_short_grace = 0.5;
  double absolute_min_detection_time_s = 0.05;  // lower limit for the shortest graces
  double max_detection_time_s = 2;              // upper limit for long graces
  double detection_margin_s = 0.1;              // subtracted from the grace for delays on a busy core
  double watch_wait_fraction = 0.5;             // time for which a watch waits for a change
  double silence_fraction = 0.3;  // time without a byte after a watch's wait until another exchange starts
  // Timeout of a complete response, however slowly it arrives. The list of 6,700 backends has 1 MB and
  // takes one second to read with a twentieth of a core.
  double response_timeout_s = 1.2;
  // Backoff after the first failed exchange. It doubles with each consecutive failure.
  double backoff_base_s = 0.02;
  double max_backoff_fraction = 0.15;
  // A watch that is answered without a change in less than this fraction of its wait is renewed only after a
  // pause. This guards against an agent that always does so, which would keep the gateway busy. The pause is
  // well below the 200 ms for which a watch persists between exchanges (PROTOCOL, Discovery).
  double early_response_fraction = 0.5;
  double early_response_pause_s = 0.02;
};

// Returns the detection time for a drain grace; see DiscoveryClientOptions.
constexpr double DetectionTimeS(const DiscoveryClientOptions& options, double drain_grace_s,
                                double connect_timeout_s) {
  double min_s = std::clamp(options.max_fraction_of_short_grace * drain_grace_s,
                            options.absolute_min_detection_time_s, options.min_detection_time_s);
  return std::clamp(drain_grace_s - connect_timeout_s - options.detection_margin_s, min_s,
                    options.max_detection_time_s);
}

// Returns the longest silence after which the agent is polled again, regardless of the number of earlier
// failures. Together with the backoff it fits into the detection time.
constexpr double MaxSilenceS(const DiscoveryClientOptions& options, double detection_time_s) {
  return std::min((1 - options.max_backoff_fraction) * detection_time_s, options.response_timeout_s);
}

// Returns the longest time until an agent that answers immediately is polled again, counted from the moment
// at which it has a change and can be reached. The worst case is an exchange that started just before that
// moment and hangs:
// - If it is the first one to hang, it is a watch and takes its wait, its silence limit and the backoff.
// - A later one has no wait and takes the longest silence limit and the backoff.
constexpr double MaxRepollDelayS(const DiscoveryClientOptions& options, double detection_time_s) {
  double backoff_s = options.max_backoff_fraction * detection_time_s;
  double watch_s = (options.watch_wait_fraction + options.silence_fraction) * detection_time_s + backoff_s;
  return std::max(watch_s, MaxSilenceS(options, detection_time_s) + backoff_s);
}

// Returns whether the client learns of a drain within its grace, less the margin, after any silence of the
// agent. Graces below kMinCheckedGraceS are not checked, because no process on a busy core reliably reacts
// that fast.
inline constexpr double kMinCheckedGraceS = 0.2;
constexpr bool DetectsDrainsWithinGrace(const DiscoveryClientOptions& options) {
  constexpr double kStepS = 0.05;
  constexpr double kMaxCheckedGraceS = 10, kMaxCheckedConnectTimeoutS = 2;
  for (double grace_s = kMinCheckedGraceS; grace_s < kMaxCheckedGraceS; grace_s += kStepS) {
    for (double connect_s = 0; connect_s < kMaxCheckedConnectTimeoutS; connect_s += kStepS) {
      double max_repoll_delay_s = MaxRepollDelayS(options, DetectionTimeS(options, grace_s, connect_s));
      if (max_repoll_delay_s > grace_s - options.detection_margin_s + 1e-9) return false;
    }
  }
  return true;
}
static_assert(DetectsDrainsWithinGrace({}));

// Returns the longest time from the moment at which the agent has a change and can be reached until the
// gateway has it, if responses are late as well. The worst case is three exchanges, the response of each of
// which takes its whole timeout:
// 1. a watch that started just before the change and whose response is outdated or truncated;
// 2. after a backoff, a poll without a wait whose response has a lower index than the last list;
// 3. after a backoff, a poll for the full list.
constexpr double MaxNotificationDelayS(const DiscoveryClientOptions& options, double detection_time_s) {
  double backoff_s = options.max_backoff_fraction * detection_time_s;
  return options.watch_wait_fraction * detection_time_s + options.response_timeout_s +
         2 * (backoff_s + options.response_timeout_s);
}

// Returns the longest time from SwitchTo() until the gateway has the new agent's list. SwitchTo() aborts all
// exchanges and requests the full list; in the worst case this first exchange fails and is repeated.
constexpr double MaxSwitchDelayS(const DiscoveryClientOptions& options, double detection_time_s) {
  double backoff_s = options.max_backoff_fraction * detection_time_s;
  return options.response_timeout_s + backoff_s + options.response_timeout_s;
}

// The longest times after which the gateway must act on a change (the operators' STANDING page). The times
// above must stay below these limits for every grace.
inline constexpr double kNotificationLimitS = 6;        // from when discovery has it and can be reached
inline constexpr double kSwitchNotificationLimitS = 4;  // from SIGHUP
static_assert(MaxNotificationDelayS({}, DiscoveryClientOptions{}.max_detection_time_s) < kNotificationLimitS);
static_assert(MaxSwitchDelayS({}, DiscoveryClientOptions{}.max_detection_time_s) < kSwitchNotificationLimitS);

// Polls one agent at a time. A failed exchange is repeated after a backoff, without a limit on the number of
// attempts. An exchange that hangs counts as failed as soon as it is overdue, so that the next one starts in
// time for a drain's grace. The overdue exchange stays open in parallel with the next one, so that a late
// response of the agent is still accepted. The first of the two to receive a list ends both. At most one
// overdue exchange is kept.
class DiscoveryClient : private DiscoveryExchange::Owner {
 public:
  // Called when a list has been received; its `notified_at` is set. The next exchange has already started or
  // is scheduled, so the callback may call Start() and SwitchTo().
  using OnList = std::function<void(EndpointList)>;
  // Called when an exchange has failed; it will be repeated. The last list received stays in effect. The
  // callback may call Start() and SwitchTo().
  using OnFailure = std::function<void()>;

  // `deployment`, `ids` and `log` must outlive the client. Both callbacks are called from the event loop
  // only, except that Start() and SwitchTo() call `on_failure` if no socket can be opened.
  DiscoveryClient(asio::io_context& io, const tcp::endpoint& address,
                  const config::DeploymentSettings& deployment, EndpointIds* ids, OnList on_list,
                  OnFailure on_failure, Log* log, const DiscoveryClientOptions& options = {});
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Starts to poll; polling never stops. Further calls, as for later PollDiscovery actions of the policy, do
  // nothing.
  void Start();

  // Immediately polls the agent at another address for the full list.
  void SwitchTo(const tcp::endpoint& address);

 private:
  // DiscoveryExchange::Owner implementation.
  void OnResponse(DiscoveryExchange* exchange) override;
  void OnOverdue(DiscoveryExchange* exchange) override;
  void OnFailed(DiscoveryExchange* exchange) override;

  void Poll();
  DiscoveryExchange::Request BuildRequest() const;
  std::optional<EndpointList> ParseList(const std::string& body);
  bool IsAcceptable(const EndpointList& list, bool is_watch);
  void AbortExchanges();
  void HandleFailure(Clock::duration exchange_duration);
  void LogRecovery() const;

  void PollAfter(Clock::duration pause);
  Clock::duration MaxSilence() const;
  Clock::duration Backoff() const;
  Clock::duration DetectionFraction(double fraction) const { return Seconds(fraction * detection_time_s_); }

  const DiscoveryClientOptions options_;
  asio::io_context& io_;
  tcp::endpoint address_;
  const config::DeploymentSettings& deployment_;
  const double detection_time_s_;
  EndpointIds* const ids_;
  const OnList on_list_;
  const OnFailure on_failure_;
  Log& log_;

  bool started_ = false;
  std::optional<uint64_t> index_;  // index of the last list received
  bool needs_full_list_ = true;
  int failures_ = 0;  // consecutive failed exchanges
  // Time from the start of the last failed exchange until it counted as failed.
  Clock::duration last_failure_duration_{};
  // Time of the agent's last response. Changes in a later response count as notified from then on, because
  // the agent may have had them since.
  Clock::time_point last_response_at_;

  std::shared_ptr<DiscoveryExchange> exchange_;  // null while waiting to start the next one
  std::shared_ptr<DiscoveryExchange> overdue_;   // an earlier exchange that may still be answered, or null
  tcp::socket connection_;                       // kept from the last exchange for the next one, or closed
  asio::steady_timer pause_timer_;               // expires when the next exchange is to start
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_DISCOVERY_CLIENT_H_
