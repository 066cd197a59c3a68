#include "net/discovery_client.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <new>
#include <utility>

#include "net/http_field_names.h"

namespace gateway::net {
namespace {

constexpr size_t kMaxListBytes = size_t{8} << 20;
constexpr int kMaxInterimResponses = 16;    // 1xx, ahead of the final one
constexpr int kFailuresBeforeFullList = 3;  // in a row
constexpr int kMaxDoublings = 8;            // of backoff and silence

double DetectionTime(const DiscoveryClientOptions& options, const config::DeploymentSettings& deployment) {
  return std::clamp(deployment.drain_grace_s - deployment.connect_timeout_s - options.detection_margin_s,
                    options.min_detection_time_s, options.max_detection_time_s);
}

}  // namespace

DiscoveryClient::DiscoveryClient(asio::io_context& io, const tcp::endpoint& address,
                                 const config::DeploymentSettings& deployment, EndpointIds* ids,
                                 OnList on_list, OnFailed on_failed, const DiscoveryClientOptions& options)
    : options_(options),
      address_(address),
      deployment_(deployment),
      detection_time_s_(DetectionTime(options, deployment)),
      ids_(ids),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      last_response_at_(Clock::now()),
      socket_(io),
      timer_(io) {}

void DiscoveryClient::Start() {
  if (state_ != State::kStopped) return;
  state_ = State::kPausing;
  Poll();
}

// The index that the agent before gave means nothing to this one.
void DiscoveryClient::SwitchTo(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  need_full_list_ = true;
  failures_ = 0;
  CloseSocket(socket_);
  Poll();
}

void DiscoveryClient::Poll() {
  if (state_ == State::kStopped) return;
  ++exchange_id_;
  bool watch = index_.has_value() && !need_full_list_;
  // After a failure the agent answers at once with what is new; only the exchange after that waits.
  bool may_wait = watch && failures_ == 0;
  auto wait = std::chrono::ceil<std::chrono::milliseconds>(
      DetectionFraction(may_wait ? options_.watch_wait_fraction : 0));
  ComposeRequest(watch, wait);
  ResetParser(&parser_, kMaxListBytes);
  interim_responses_ = 0;
  max_silence_ = wait + MaxSilence();
  began_at_ = Clock::now();
  response_deadline_ = began_at_ + wait + Seconds(options_.response_timeout_s);
  AwaitBytes();
  if (socket_.is_open() && !IsStale(socket_)) {
    Send();
  } else {
    CloseSocket(socket_);
    Connect();
  }
}

void DiscoveryClient::ComposeRequest(bool watch, std::chrono::milliseconds wait) {
  request_ = std::string("GET ") + kEndpointListPath;
  if (watch) {
    request_ += std::string("?") + kWatchIndexParameter + "=" + std::to_string(*index_);
    request_ += std::string("&") + kWatchWaitMsParameter + "=" + std::to_string(wait.count());
  }
  request_ += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
}

void DiscoveryClient::Connect() {
  state_ = State::kConnecting;
  buffer_.clear();
  error_code error = OpenSocket(socket_, address_);
  if (error) return Fail();
  socket_.async_connect(address_, [this, exchange = exchange_id_](error_code failed) {
    if (exchange != exchange_id_) return;
    if (failed) return Fail();
    Send();
  });
}

// An agent whose socket does not take one short line does not read it.
void DiscoveryClient::Send() {
  state_ = State::kReceiving;
  error_code error;
  size_t sent = socket_.send(asio::buffer(request_), 0, error);
  if (error || sent < request_.size()) return Fail();
  Receive();
}

void DiscoveryClient::Receive() {
  socket_.async_read_some(buffer_.prepare(kReadChunkBytes),
                          [this, exchange = exchange_id_](error_code error, size_t size) {
                            if (exchange == exchange_id_) OnBytes(error, size);
                          });
}

void DiscoveryClient::OnBytes(error_code error, size_t size) {
  buffer_.commit(size);
  if (size > 0) max_silence_ = MaxSilence();
  AwaitBytes();
  error_code parse_error;
  if (error == asio::error::eof && parser_->got_some()) {
    parser_->put_eof(parse_error);
  } else if (error) {
    return Fail();
  }
  if (!parse_error) parse_error = ParseReceived();
  if (parse_error) return Fail();
  if (parser_->is_done()) return OnResponse();
  if (error) return Fail();
  Receive();
}

// Passes over interim responses.
error_code DiscoveryClient::ParseReceived() {
  error_code error;
  if (!parser_->is_done()) error = FeedParser(*parser_, buffer_);
  while (!error && parser_->is_done() && parser_->get().result_int() / 100 == 1) {
    if (interim_responses_ >= kMaxInterimResponses) return http::error::bad_status;
    ++interim_responses_;
    ResetParser(&parser_, kMaxListBytes);
    error = FeedParser(*parser_, buffer_);
  }
  return error;
}

void DiscoveryClient::OnResponse() {
  if (parser_->get().result() != http::status::ok) return Fail();
  std::optional<EndpointList> parsed = ParseList();
  if (!parsed || !IsAcceptable(*parsed)) return Fail();
  EndpointList& list = *parsed;

  if (!parser_->keep_alive() || buffer_.size() > 0) CloseSocket(socket_);
  bool nothing_new = !need_full_list_ && index_ == list.index;
  bool early = Clock::now() - began_at_ <
               DetectionFraction(options_.watch_wait_fraction * options_.early_response_fraction);
  LogRecovery();
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

// None where the body is no endpoint list, or where there is no memory for it: the list as last received
// holds on.
std::optional<EndpointList> DiscoveryClient::ParseList() {
  try {
    return ParseEndpointList(nlohmann::json::parse(parser_->get().body()), deployment_, ids_);
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
bool DiscoveryClient::IsAcceptable(const EndpointList& list) {
  if (need_full_list_) return list.full;
  if (list.index >= *index_) return true;
  need_full_list_ = true;
  return false;
}

// After a short gap a watch goes on from the same index. After a longer one the full list is asked for, so
// that no change is missed whatever the agent still remembers.
void DiscoveryClient::Fail() {
  CloseSocket(socket_);
  last_failure_wait_ = Clock::now() - began_at_;
  ++failures_;
  if (failures_ == kFailuresBeforeFullList) std::fprintf(stderr, "discovery_silent failures=%d\n", failures_);
  if (failures_ >= kFailuresBeforeFullList) need_full_list_ = true;
  PollAfter(Backoff());
  on_failed_();
}

// Tells apart, for a change that was applied late, an agent that answered late from an exchange that was
// waited for too long: `last_wait_s` is how long the last exchange that failed lasted.
void DiscoveryClient::LogRecovery() const {
  if (failures_ < kFailuresBeforeFullList) return;
  std::fprintf(stderr, "discovery_recovered failures=%d silent_s=%.3f last_wait_s=%.3f\n", failures_,
               ToSeconds(Clock::now() - last_response_at_), ToSeconds(last_failure_wait_));
}

void DiscoveryClient::PollAfter(Clock::duration pause) {
  ++exchange_id_;
  state_ = State::kPausing;
  ArmTimer(Clock::now() + pause);
}

void DiscoveryClient::ArmTimer(Clock::time_point when) {
  timer_.expires_at(when);
  timer_.async_wait([this, exchange = exchange_id_](error_code cancelled) {
    if (!cancelled && exchange == exchange_id_) OnTimer();
  });
}

// Counted anew from each byte, so that a long list may take its time, but never past the response's deadline.
// Guards against an agent that falls silent (a hung process, or a machine that was cut off: nothing closes
// the connection) and against one whose response never ends.
void DiscoveryClient::AwaitBytes() { ArmTimer(std::min(Clock::now() + max_silence_, response_deadline_)); }

void DiscoveryClient::OnTimer() {
  if (state_ == State::kPausing) return Poll();
  // Bytes that have come and are not read yet, in a busy event loop, are no silence.
  bool overdue = Clock::now() >= response_deadline_;
  if (!overdue && socket_.is_open() && HasUnreadBytes(socket_)) return AwaitBytes();
  Fail();
}

// Longer with each failure, so that an agent that pauses longer than expected is heard all the same.
Clock::duration DiscoveryClient::MaxSilence() const {
  Clock::duration silence = DetectionFraction(options_.silence_fraction);
  return std::min(silence * (1 << std::min(failures_, kMaxDoublings)), Seconds(options_.response_timeout_s));
}

Clock::duration DiscoveryClient::Backoff() const {
  double backoff_s = options_.backoff_base_s * (1 << std::min(failures_, kMaxDoublings));
  return std::min(Seconds(backoff_s), DetectionFraction(options_.max_backoff_fraction));
}

}  // namespace gateway::net
