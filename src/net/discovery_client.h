// Follows discovery: the full endpoint list first, then one watch after another.
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

// The time parts of the client.
//
// A change counts as notified as soon as the agent has it, whether or not it reaches this gateway. So the
// grace of a draining backend also runs while an exchange hangs, and from the agent's return after an outage.
// The detection time is the part of that grace in which a hanging exchange has to be noticed and the agent
// polled anew: grace - connect timeout - margin, between the bounds below. The fractions are of it. The agent
// is on the gateway's machine and answers at once, so short time-outs and more calls cost little.
struct DiscoveryClientOptions {
  double min_detection_time_s = 0.25;
  double short_grace_fraction = 0.5;  // of a grace so short that the minimum would be more than this
  double floor_detection_time_s = 0.05;
  double max_detection_time_s = 2;   // for long graces
  double detection_margin_s = 0.1;   // off the grace: what a busy core may take
  double watch_wait_fraction = 0.5;  // how long a watch waits for a change
  double silence_fraction = 0.3;     // without a byte after a watch's wait, until another exchange begins
  // For a complete response, at whatever pace it comes: the list of 6,700 backends has 1 MB, which takes a
  // twentieth of a core one second.
  double response_timeout_s = 1.2;
  // Between failed exchanges: the base, doubled with each failure in a row.
  double backoff_base_s = 0.02;
  double max_backoff_fraction = 0.15;
  // A watch that is answered with nothing new in less than this fraction of its wait is renewed only after
  // the pause. Guards against an agent that does so each time, which would keep the gateway busy. The pause
  // is well within the 200 ms in which a watch lives on (PROTOCOL, Discovery).
  double early_response_fraction = 0.5;
  double early_response_pause_s = 0.02;
};

constexpr double DetectionTimeS(const DiscoveryClientOptions& options, double drain_grace_s,
                                double connect_timeout_s) {
  double least_s = std::clamp(options.short_grace_fraction * drain_grace_s, options.floor_detection_time_s,
                              options.min_detection_time_s);
  return std::clamp(drain_grace_s - connect_timeout_s - options.detection_margin_s, least_s,
                    options.max_detection_time_s);
}

// The longest silence after which the agent is polled anew, whatever failed before: with the backoff it fits
// into the detection time.
constexpr double MaxSilenceS(const DiscoveryClientOptions& options, double detection_time_s) {
  return std::min((1 - options.max_backoff_fraction) * detection_time_s, options.response_timeout_s);
}

// The longest time, in s, for which an agent that answers at once is not polled anew, counted from when it
// has a change and can be reached: an exchange that began just before hangs.
// - The first to hang is a watch: its wait, its silence and the backoff.
// - The later ones do not wait: the longest silence and the backoff.
constexpr double WorstSilenceTimeS(const DiscoveryClientOptions& options, double detection_time_s) {
  double backoff_s = options.max_backoff_fraction * detection_time_s;
  double watch_s = (options.watch_wait_fraction + options.silence_fraction) * detection_time_s + backoff_s;
  return std::max(watch_s, MaxSilenceS(options, detection_time_s) + backoff_s);
}

// Whether a drain is learnt within its grace, the margin taken off, after any silence of the agent. Not said
// of graces below kShortestGraceS, in which no process on a busy core can be relied on.
inline constexpr double kShortestGraceS = 0.2;
constexpr bool LearnsDrainsWithinTheGrace(const DiscoveryClientOptions& options) {
  constexpr double kStepS = 0.05;
  constexpr double kLongestGraceS = 10, kLongestConnectTimeoutS = 2;
  for (double grace_s = kShortestGraceS; grace_s < kLongestGraceS; grace_s += kStepS) {
    for (double connect_s = 0; connect_s < kLongestConnectTimeoutS; connect_s += kStepS) {
      double worst_s = WorstSilenceTimeS(options, DetectionTimeS(options, grace_s, connect_s));
      if (worst_s > grace_s - options.detection_margin_s + 1e-9) return false;
    }
  }
  return true;
}
static_assert(LearnsDrainsWithinTheGrace({}));

// The longest time, in s, from when the agent has a change and can be reached until the gateway has it,
// where responses are late as well. The worst case is three exchanges, each of whose responses takes all of
// its time-out:
// 1. a watch that began just before the change, and whose response is old or cut off;
// 2. after a backoff, a poll that does not wait, and whose response has an index that goes back;
// 3. after a backoff, a poll for the full list.
constexpr double WorstNotificationTimeS(const DiscoveryClientOptions& options, double detection_time_s) {
  double backoff_s = options.max_backoff_fraction * detection_time_s;
  return options.watch_wait_fraction * detection_time_s + options.response_timeout_s +
         2 * (backoff_s + options.response_timeout_s);
}

// The longest time, in s, from SwitchTo() until the gateway has the new agent's list. No exchange is under
// way then, and the first asks for the full list already: at worst it fails and is repeated.
constexpr double WorstSwitchTimeS(const DiscoveryClientOptions& options, double detection_time_s) {
  double backoff_s = options.max_backoff_fraction * detection_time_s;
  return options.response_timeout_s + backoff_s + options.response_timeout_s;
}

// By then at the latest the gateway has to act on a change, counted from when discovery had it and could be
// reached, and from SIGHUP (the operators' STANDING page). The times above have to stay below for every
// grace.
inline constexpr double kNotificationLimitS = 6;
inline constexpr double kSwitchNotificationLimitS = 4;
static_assert(WorstNotificationTimeS({}, DiscoveryClientOptions{}.max_detection_time_s) <
              kNotificationLimitS);
static_assert(WorstSwitchTimeS({}, DiscoveryClientOptions{}.max_detection_time_s) <
              kSwitchNotificationLimitS);

// Polls one agent at a time. An exchange that fails is repeated after a backoff, for ever. One that hangs
// counts as failed as soon as it is overdue, so that the next one begins in time for a drain's grace; it is
// still listened to beside that one, so that an agent which answers late is heard too. The first of the two
// to bring a list ends both. At most one overdue exchange is kept.
class DiscoveryClient : private DiscoveryExchange::Owner {
 public:
  // A list was received; its `notified_at` is set. When it is called the next exchange has begun or is
  // scheduled, so it may call Start() and SwitchTo().
  using OnList = std::function<void(EndpointList)>;
  // An exchange failed, and will be repeated. Nothing is known to have changed. The same holds.
  using OnFailure = std::function<void()>;

  // `deployment`, `ids` and `log` outlive the client. Both callbacks are called from the event loop only,
  // except that `on_failure` may come from within Start() and SwitchTo() where no socket can be opened.
  DiscoveryClient(asio::io_context& io, const tcp::endpoint& address,
                  const config::DeploymentSettings& deployment, EndpointIds* ids, OnList on_list,
                  OnFailure on_failure, Log* log, const DiscoveryClientOptions& options = {});
  ~DiscoveryClient();
  DiscoveryClient(const DiscoveryClient&) = delete;
  DiscoveryClient& operator=(const DiscoveryClient&) = delete;

  // Begins to poll; never stops. Called again it does nothing, as by later PollDiscovery actions of the
  // policy.
  void Start();

  // Polls the agent at another address for the full list, at once.
  void SwitchTo(const tcp::endpoint& address);

 private:
  // DiscoveryExchange::Owner.
  void OnResponse(DiscoveryExchange* exchange) override;
  void OnOverdue(DiscoveryExchange* exchange) override;
  void OnFailed(DiscoveryExchange* exchange) override;

  void Poll();
  DiscoveryExchange::Request ComposeRequest() const;
  std::optional<EndpointList> ParseList(const std::string& body);
  bool IsAcceptable(const EndpointList& list, bool watch);
  void EndExchanges();
  void HandleFailure(Clock::duration waited);
  void LogRecovery() const;

  // Time.
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
  std::optional<uint64_t> index_;  // of the list as last received
  bool need_full_list_ = true;
  int failures_ = 0;  // in a row
  // How long the last exchange that failed was waited for.
  Clock::duration last_failure_wait_{};
  // When the agent last answered: what it tells later it did not have before.
  Clock::time_point last_response_at_;

  std::shared_ptr<DiscoveryExchange> exchange_;  // null while pausing
  std::shared_ptr<DiscoveryExchange> overdue_;   // an earlier one that may still be answered; or null
  tcp::socket connection_;                       // of the last exchange, for the next; or closed
  asio::steady_timer pause_timer_;               // until the next exchange
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_DISCOVERY_CLIENT_H_
