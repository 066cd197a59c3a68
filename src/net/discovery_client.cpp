#include "net/discovery_client.h"

#include <algorithm>
#include <chrono>
#include <new>
#include <string>
#include <utility>

#include "net/http_field_names.h"

namespace gateway::net {
namespace {

constexpr int kFailuresBeforeFullList = 3;  // in a row
constexpr int kMaxDoublings = 8;            // of backoff and silence

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

DiscoveryClient::~DiscoveryClient() { EndExchanges(); }

void DiscoveryClient::Start() {
  if (started_) return;
  started_ = true;
  Poll();
}

// The index that the agent before gave means nothing to this one.
void DiscoveryClient::SwitchTo(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  need_full_list_ = true;
  failures_ = 0;
  EndExchanges();
  CloseSocket(connection_);
  if (started_) Poll();
}

void DiscoveryClient::EndExchanges() {
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
                                                  address_, ComposeRequest(), timeouts);
  auto started = exchange_;  // a failure at once drops the client's reference
  started->Start();
}

DiscoveryExchange::Request DiscoveryClient::ComposeRequest() const {
  DiscoveryExchange::Request request;
  request.watch = index_.has_value() && !need_full_list_;
  // After a failure the agent answers at once with what is new; only the exchange after that waits.
  bool may_wait = request.watch && failures_ == 0;
  auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      DetectionFraction(may_wait ? options_.watch_wait_fraction : 0));
  request.may_wait = wait;
  request.text = std::string("GET ") + kEndpointListPath;
  if (request.watch) {
    request.text += std::string("?") + kWatchIndexParameter + "=" + std::to_string(*index_);
    request.text += std::string("&") + kWatchWaitMsParameter + "=" + std::to_string(wait.count());
  }
  request.text += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
  return request;
}

// Of the current exchange or the overdue one.
void DiscoveryClient::OnResponse(DiscoveryExchange* exchange) {
  std::optional<EndpointList> parsed = ParseList(exchange->body());
  bool acceptable = parsed && IsAcceptable(*parsed, exchange->watch());
  Clock::duration waited = Clock::now() - exchange->began_at();
  bool watch = exchange->watch();
  connection_ = exchange->TakeConnection();
  EndExchanges();
  if (!acceptable) {
    CloseSocket(connection_);
    return HandleFailure(waited);
  }
  EndpointList& list = *parsed;

  LogRecovery();
  bool nothing_new = watch && index_ == list.index;
  bool early = waited < DetectionFraction(options_.watch_wait_fraction * options_.early_response_fraction);
  need_full_list_ = false;
  index_ = list.index;
  failures_ = 0;
  list.notified_at = std::exchange(last_response_at_, Clock::now());
  if (nothing_new && early) {
    PollAfter(Seconds(options_.early_response_pause_s));
  } else {
    Poll();  // before the list is handled: a watch lives on only for 200 ms between its exchanges
  }
  on_list_(std::move(list));
}

void DiscoveryClient::OnOverdue(DiscoveryExchange* exchange) {
  Clock::duration waited = Clock::now() - exchange->began_at();
  if (overdue_ == nullptr) {
    overdue_ = std::move(exchange_);
  } else {
    exchange_->Abort();  // the older one may be answered sooner
  }
  exchange_.reset();
  HandleFailure(waited);
}

void DiscoveryClient::OnFailed(DiscoveryExchange* exchange) {
  Clock::duration waited = Clock::now() - exchange->began_at();
  if (exchange == overdue_.get()) return overdue_.reset();  // it has counted as failed already
  exchange_.reset();
  HandleFailure(waited);
}

// None where the body is no endpoint list, or where there is no memory for it: the list as last received
// holds on.
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

// An index that goes back belongs to another numbering, or to an old response. Applied as a change it could
// bring back a backend that is gone; only a full list that was asked for as such says what holds now.
bool DiscoveryClient::IsAcceptable(const EndpointList& list, bool watch) {
  if (!watch) return list.full;
  if (list.index >= *index_) return true;
  need_full_list_ = true;
  return false;
}

// After a short gap a watch goes on from the same index. After a longer one the full list is asked for, so
// that no change is missed whatever the agent still remembers.
void DiscoveryClient::HandleFailure(Clock::duration waited) {
  last_failure_wait_ = waited;
  ++failures_;
  if (failures_ == kFailuresBeforeFullList) {
    log_.Write("discovery_silent failures=" + std::to_string(failures_));
  }
  if (failures_ >= kFailuresBeforeFullList) need_full_list_ = true;
  PollAfter(Backoff());
  on_failure_();
}

// Tells apart, for a change that was applied late, an agent that answered late from an exchange that was
// waited for too long: `last_wait_s` is how long the last exchange that failed lasted.
void DiscoveryClient::LogRecovery() const {
  if (failures_ < kFailuresBeforeFullList) return;
  log_.Write("discovery_recovered failures=" + std::to_string(failures_) +
             " silent_s=" + FormatSeconds(Clock::now() - last_response_at_) +
             " last_wait_s=" + FormatSeconds(last_failure_wait_));
}

void DiscoveryClient::PollAfter(Clock::duration pause) {
  pause_timer_.expires_after(pause);
  pause_timer_.async_wait([this](error_code cancelled) {
    bool superseded = exchange_ != nullptr || Clock::now() < pause_timer_.expiry();
    if (!cancelled && !superseded) Poll();
  });
}

// Longer with each failure, so that an agent that pauses longer than expected is not polled twice each time.
Clock::duration DiscoveryClient::MaxSilence() const {
  Clock::duration silence = DetectionFraction(options_.silence_fraction);
  return std::min(silence * (1 << std::min(failures_, kMaxDoublings)),
                  Seconds(MaxSilenceS(options_, detection_time_s_)));
}

Clock::duration DiscoveryClient::Backoff() const {
  double backoff_s = options_.backoff_base_s * (1 << std::min(failures_, kMaxDoublings));
  return std::min(Seconds(backoff_s), DetectionFraction(options_.max_backoff_fraction));
}

}  // namespace gateway::net
