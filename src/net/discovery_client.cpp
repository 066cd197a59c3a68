#include "net/discovery_client.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/gateway_config.h"

namespace gateway::net {
namespace {

using nlohmann::json;

constexpr size_t kMaxList = size_t{8} << 20;
constexpr double kLearnMarginS = 0.1;  // off the grace: what a busy core may take
constexpr double kBackoffLeastS = 0.02;
// An agent that answers a watch without need, before so much of its wait, is asked again after so long: well
// within the 200 ms in which a watch lives on, and no loop without a wait.
constexpr double kEarlyPart = 0.5, kPauseS = 0.02;
constexpr int kMostInterim = 16;     // 1xx answers ahead of the final one
constexpr int kFailuresToWhole = 3;  // in a row, after which the whole list is asked for

int Position(const std::vector<std::string>& names, const std::string& name) {
  auto it = std::find(names.begin(), names.end(), config::PlainName(name));
  return static_cast<int>(it -
                          names.begin());  // one that the settings do not name comes after all that they do
}

}  // namespace

uint32_t EndpointIds::NameHash(std::string_view name) {
  uint32_t hash = 2166136261u;  // FNV-1a
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  return hash;
}

uint32_t EndpointIds::Of(const std::string& name) {
  auto it = ids_.find(name);
  if (it != ids_.end()) return it->second;
  uint32_t id = hash_(name);
  while (!names_.try_emplace(id, name).second) ++id;
  ids_[name] = id;
  return id;
}

EndpointList ParseEndpointList(const json& list, const config::DeploymentSettings& site, EndpointIds* ids) {
  EndpointList out;
  std::vector<std::pair<std::string, ListedEndpoint>> named;
  try {
    out.index = list.at("index").get<uint64_t>();
    out.full = list.at("snapshot").get<bool>();
    for (const json& entry : list.at("endpoints")) {
      ListedEndpoint listed;
      policy::Endpoint& b = listed.backend;
      std::string status = entry.at("status").get<std::string>();
      if (status == "active") {
        b.state = policy::EndpointState::kReady;
      } else if (status == "leaving") {
        b.state = policy::EndpointState::kDraining;
      } else if (status == "left") {
        b.state = policy::EndpointState::kRemoved;
      } else {
        throw DiscoveryError("unknown status " + status);
      }
      if (b.state != policy::EndpointState::kRemoved || entry.contains("address")) {
        listed.address = config::ParseAddress("address", entry.at("address").get<std::string>());
      }
      b.kind = Position(site.endpoint_kinds, entry.value("type", ""));
      b.zone = Position(site.zone_names, entry.value("zone", ""));
      b.cell = entry.value("group", 0);
      b.weight = entry.value("weight", 1.0);
      b.started_s = entry.value("since_ms", 0.0) / 1000;
      if (!std::isfinite(b.weight) || !std::isfinite(b.started_s))
        throw DiscoveryError("a figure is not finite");
      named.emplace_back(entry.at("name").get<std::string>(), listed);
    }
  } catch (const config::ConfigError& error) {
    throw DiscoveryError(error.what());
  } catch (const json::exception& error) {
    throw DiscoveryError(error.what());
  }
  // By name, so that names of one hash get the same ids wherever they are first met together.
  std::vector<std::string> names;
  for (const auto& [name, listed] : named) names.push_back(name);
  std::sort(names.begin(), names.end());
  for (const std::string& name : names) ids->Of(name);
  for (auto& [name, listed] : named) {
    listed.backend.id = ids->Of(name);
    out.entries.push_back(std::move(listed));
  }
  return out;
}

DiscoveryClient::DiscoveryClient(asio::io_context& io, tcp::endpoint address,
                                 const config::DeploymentSettings& site, EndpointIds* ids, OnList on_list,
                                 OnFailed on_failed)
    : io_(io),
      address_(address),
      site_(site),
      learn_s_(
          std::clamp(site.drain_grace_s - site.connect_timeout_s - kLearnMarginS, kLearnLeastS, kLearnMostS)),
      ids_(ids),
      on_list_(std::move(on_list)),
      on_failed_(std::move(on_failed)),
      socket_(io),
      timer_(io),
      fresh_at_(Clock::now()) {}

void DiscoveryClient::Start() {
  if (running_) return;
  running_ = true;
  Ask();
}

// A version that the agent before gave means nothing to this one.
void DiscoveryClient::Move(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  whole_next_ = true;
  failures_ = 0;
  CloseNow(socket_);
  Ask();
}

void DiscoveryClient::Ask() {
  if (!running_) return;
  ++turn_;
  bool watch = index_.has_value() && !whole_next_;
  // After a failure what is new is asked for at once, and waited for only then.
  auto wait_ms = std::chrono::ceil<std::chrono::milliseconds>(Part(watch && failures_ == 0 ? kWaitPart : 0));
  message_ = "GET /api/targets";
  if (watch) {
    message_ += "?after=" + std::to_string(*index_) + "&wait_ms=" + std::to_string(wait_ms.count());
  }
  message_ += " HTTP/1.1\r\nHost: discovery\r\n\r\n";
  Renew(&parser_, kMaxList);
  interim_ = 0;
  silence_ = wait_ms + Silence();
  asked_at_ = Clock::now();
  give_up_ = asked_at_ + wait_ms + Seconds(kAnswerS);
  AwaitSilence();
  if (socket_.is_open() && !Stale(socket_)) {
    Send();
  } else {
    CloseNow(socket_);
    Connect();
  }
}

// From the last bytes on, so that a long list may take its time, but not for ever. Guards against an agent
// that says nothing, and one whose answer never ends.
void DiscoveryClient::AwaitSilence() {
  timer_.expires_at(std::min(Clock::now() + silence_, give_up_));
  timer_.async_wait([this, turn = turn_](error_code cancelled) {
    if (cancelled || turn != turn_) return;
    bool late = Clock::now() >= give_up_;
    if (!late && socket_.is_open() && Unread(socket_)) return AwaitSilence();  // about to be read
    Failed();
  });
}

void DiscoveryClient::Connect() {
  buffer_.clear();
  error_code error = Open(socket_, address_);
  if (error) return Failed();
  socket_.async_connect(address_, [this, turn = turn_](error_code failed) {
    if (turn != turn_) return;
    if (failed) return Failed();
    Send();
  });
}

void DiscoveryClient::Send() {
  error_code error;
  size_t sent = socket_.send(asio::buffer(message_), 0, error);
  if (error || sent < message_.size())
    return Failed();  // an agent that does not read a line of a kept connection
  Read();
}

void DiscoveryClient::Read() {
  socket_.async_read_some(buffer_.prepare(kReadChunk), [this, turn = turn_](error_code error, size_t n) {
    if (turn != turn_) return;
    buffer_.commit(n);
    if (n > 0) silence_ = Silence();
    AwaitSilence();
    error_code bad;
    if (error == asio::error::eof && parser_->got_some()) {
      parser_->put_eof(bad);
    } else if (error) {
      return Failed();
    }
    if (!bad && !parser_->is_done()) bad = Feed(*parser_, buffer_);
    for (; !bad && parser_->is_done() && parser_->get().result_int() / 100 == 1; ++interim_) {
      if (interim_ >= kMostInterim) return Failed();
      Renew(&parser_, kMaxList);  // an interim answer: the final one follows
      bad = Feed(*parser_, buffer_);
    }
    if (bad) return Failed();
    if (parser_->is_done()) return Answered();
    if (error) return Failed();
    Read();
  });
}

void DiscoveryClient::Answered() {
  if (parser_->get().result_int() != 200) return Failed();
  EndpointList list;
  try {
    list = ParseEndpointList(json::parse(parser_->get().body()), site_, ids_);
  } catch (const std::exception&) {
    return Failed();  // what is no list changes nothing: the old list is kept
  }
  if (whole_next_ && !list.full) return Failed();
  // A version that goes back is another numbering, or an old answer: only a whole list that was asked for as
  // such says what holds now.
  if (!whole_next_ && list.index < *index_) {
    whole_next_ = true;
    return Failed();
  }
  if (!parser_->keep_alive() || buffer_.size() > 0) CloseNow(socket_);
  bool nothing_new = !whole_next_ && index_ == list.index;
  whole_next_ = false;
  index_ = list.index;
  failures_ = 0;
  list.told = std::exchange(fresh_at_, Clock::now());
  if (nothing_new && Clock::now() - asked_at_ < Part(kWaitPart * kEarlyPart)) {
    AskSoon();
  } else {
    Ask();  // renewed at once: a watch lives on only for 200 ms between its calls
  }
  on_list_(std::move(list));
}

// Longer with each failure, so that an agent that pauses longer than expected is heard all the same.
Clock::duration DiscoveryClient::Silence() const {
  return std::min(Part(kSilencePart) * (1 << std::min(failures_, 8)), Seconds(kAnswerS));
}

void DiscoveryClient::AskSoon() {
  timer_.expires_after(Seconds(kPauseS));
  timer_.async_wait([this, turn = ++turn_](error_code cancelled) {
    if (!cancelled && turn == turn_) Ask();
  });
}

void DiscoveryClient::Failed() {
  uint64_t turn = ++turn_;
  CloseNow(socket_);
  // A watch that broke goes on after the same version. After a longer gap the whole list is asked for again,
  // so that no change is missed whatever the agent remembers.
  if (++failures_ >= kFailuresToWhole) whole_next_ = true;
  timer_.expires_after(std::min(Seconds(kBackoffLeastS * (1 << std::min(failures_, 8))), Part(kBackoffPart)));
  timer_.async_wait([this, turn](error_code cancelled) {
    if (!cancelled && turn == turn_) Ask();
  });
  on_failed_();
}

}  // namespace gateway::net
