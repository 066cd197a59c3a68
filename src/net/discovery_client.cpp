#include "net/discovery_client.h"

#include <algorithm>
#include <chrono>
#include <new>
#include <string>
#include <utility>

#include "net/http_field_names.h"

namespace gateway::net {
namespace {

constexpr int kFailuresBeforeFullList = 3;  // number of consecutive failures
constexpr int kMaxBackoffDoublings = 8;     // limit for the backoff and the silence limit

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, const tcp::endpoint& address,
                                 const config::DeploymentSettings& deployment, EndpointIds* ids,
                                 OnList on_list, OnFailure on_failure, Log* log,
                                 const DiscoveryClientOptions& options)
    : options_(options),
      io_(io),
      address_(address),
      deployment_(deployment),
      detection_time_s_(DetectionTimeS(options, deployment.drain_grace_s, deployment.connect_timeout_s)),
      ids_(ids),
      on_list_(std::move(on_list)),
      on_failure_(std::move(on_failure)),
      log_(*log),
      last_response_at_(Clock::now()),
      connection_(io),
      pause_timer_(io) {}

DiscoveryClient::~DiscoveryClient() { AbortExchanges(); }

void DiscoveryClient::Start() {
  if (started_) return;
  started_ = true;
  Poll();
}

// Requests the full list, because the previous agent's index means nothing to the new agent.
void DiscoveryClient::SwitchTo(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  needs_full_list_ = true;
  failures_ = 0;
  AbortExchanges();
  CloseSocket(connection_);
  if (started_) Poll();
}

void DiscoveryClient::AbortExchanges() {
  for (auto* exchange : {&exchange_, &overdue_}) {
    if (*exchange != nullptr) (*exchange)->Abort();
    exchange->reset();
  }
}

void DiscoveryClient::Poll() {
  pause_timer_.cancel();
  DiscoveryExchange::Timeouts timeouts{MaxSilence(), Seconds(options_.response_timeout_s)};
  DiscoveryExchange::Owner* owner = this;
  exchange_ = std::make_shared<DiscoveryExchange>(owner, std::exchange(connection_, tcp::socket(io_)),
                                                  address_, BuildRequest(), timeouts);
  auto started = exchange_;  // an immediate failure resets exchange_
  started->Start();
}

DiscoveryExchange::Request DiscoveryClient::BuildRequest() const {
  DiscoveryExchange::Request request;
  request.watch = index_.has_value() && !needs_full_list_;
  // After a failure the agent is to answer immediately with any changes; only the next exchange waits.
  bool may_wait = request.watch && failures_ == 0;
  auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      DetectionFraction(may_wait ? options_.watch_wait_fraction : 0));
  request.max_wait = wait;
  request.text = std::string("GET ") + kEndpointListPath;
  if (request.watch) {
    request.text += std::string("?") + kWatchIndexParameter + "=" + std::to_string(*index_);
    request.text += std::string("&") + kWatchWaitMsParameter + "=" + std::to_string(wait.count());
  }
  request.text += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
  return request;
}

// Called by the current exchange or the overdue one.
void DiscoveryClient::OnResponse(DiscoveryExchange* exchange) {
  std::optional<EndpointList> parsed = ParseList(exchange->body());
  bool acceptable = parsed && IsAcceptable(*parsed, exchange->watch());
  Clock::duration duration = Clock::now() - exchange->started_at();
  bool is_watch = exchange->watch();
  connection_ = exchange->TakeConnection();
  AbortExchanges();
  if (!acceptable) {
    CloseSocket(connection_);
    return HandleFailure(duration);
  }
  EndpointList& list = *parsed;

  LogRecovery();
  bool unchanged = is_watch && index_ == list.index;
  bool early = duration < DetectionFraction(options_.watch_wait_fraction * options_.early_response_fraction);
  needs_full_list_ = false;
  index_ = list.index;
  failures_ = 0;
  list.notified_at = std::exchange(last_response_at_, Clock::now());
  if (unchanged && early) {
    PollAfter(Seconds(options_.early_response_pause_s));
  } else {
    // Polls before the list is handled, because a watch persists only for 200 ms between its exchanges.
    Poll();
  }
  on_list_(std::move(list));
}

void DiscoveryClient::OnOverdue(DiscoveryExchange* exchange) {
  Clock::duration duration = Clock::now() - exchange->started_at();
  if (overdue_ == nullptr) {
    overdue_ = std::move(exchange_);
  } else {
    exchange_->Abort();  // the older exchange is kept because it may be answered sooner
  }
  exchange_.reset();
  HandleFailure(duration);
}

void DiscoveryClient::OnFailed(DiscoveryExchange* exchange) {
  Clock::duration duration = Clock::now() - exchange->started_at();
  if (exchange == overdue_.get()) return overdue_.reset();  // it has already been counted as failed
  exchange_.reset();
  HandleFailure(duration);
}

// Returns nothing if the body is not an endpoint list or there is not enough memory for it; the last list
// received then stays in effect.
std::optional<EndpointList> DiscoveryClient::ParseList(const std::string& body) {
  try {
    return ParseEndpointList(nlohmann::json::parse(body), deployment_, ids_);
  } catch (const DiscoveryError&) {
    return std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  } catch (const std::bad_alloc&) {
    return std::nullopt;
  }
}

// A response to a poll must be a full list, and a response to a watch must not have a lower index than the
// last list. A lower index belongs to another numbering or to an outdated response; applied as a change, the
// list could bring back a backend that is gone. Only a requested full list then gives the current state.
bool DiscoveryClient::IsAcceptable(const EndpointList& list, bool is_watch) {
  if (!is_watch) return list.full;
  if (list.index >= *index_) return true;
  needs_full_list_ = true;
  return false;
}

// After fewer than kFailuresBeforeFullList consecutive failures a watch resumes from the same index. After
// more, the full list is requested, so that no change is missed even if the agent no longer has the changes
// since that index.
void DiscoveryClient::HandleFailure(Clock::duration exchange_duration) {
  last_failure_duration_ = exchange_duration;
  ++failures_;
  if (failures_ == kFailuresBeforeFullList) {
    log_.Write("discovery_silent failures=" + std::to_string(failures_));
  }
  if (failures_ >= kFailuresBeforeFullList) needs_full_list_ = true;
  PollAfter(Backoff());
  on_failure_();
}

// `last_wait_s` is the duration of the last failed exchange. For a change that was applied late, it shows
// whether the agent answered late or the client waited too long for an exchange.
void DiscoveryClient::LogRecovery() const {
  if (failures_ < kFailuresBeforeFullList) return;
  log_.Write("discovery_recovered failures=" + std::to_string(failures_) +
             " silent_s=" + FormatSeconds(Clock::now() - last_response_at_) +
             " last_wait_s=" + FormatSeconds(last_failure_duration_));
}

void DiscoveryClient::PollAfter(Clock::duration pause) {
  pause_timer_.expires_after(pause);
  pause_timer_.async_wait([this](error_code cancelled) {
    bool superseded = exchange_ != nullptr || Clock::now() < pause_timer_.expiry();
    if (!cancelled && !superseded) Poll();
  });
}

// Returns the silence limit of the next exchange. It doubles with each failure, so that an agent that
// regularly pauses longer than expected is not polled twice each time.
Clock::duration DiscoveryClient::MaxSilence() const {
  Clock::duration silence = DetectionFraction(options_.silence_fraction);
  return std::min(silence * (1 << std::min(failures_, kMaxBackoffDoublings)),
                  Seconds(MaxSilenceS(options_, detection_time_s_)));
}

Clock::duration DiscoveryClient::Backoff() const {
  double backoff_s = options_.backoff_base_s * (1 << std::min(failures_, kMaxBackoffDoublings));
  return std::min(Seconds(backoff_s), DetectionFraction(options_.max_backoff_fraction));
}

}  // namespace gateway::net
