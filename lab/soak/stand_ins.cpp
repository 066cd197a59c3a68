#include "lab/soak/stand_ins.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <thread>

#include "lab/random.h"

namespace gateway::lab::soak {
namespace {

using nlohmann::json;

// Longer than any request lasts. A connection that is idle for this time has been abandoned. It also stands
// for the end of a notice that is not over yet.
constexpr double kIdleTimeoutS = 120;

std::string Response(const std::string& status, const std::string& fields, const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// Returns the number that follows `name` in the head of a request, or -1 if `name` does not occur.
long QueryNumber(const std::string& head, const std::string& name) {
  size_t at = head.find(name);
  return at == std::string::npos ? -1 : std::atol(head.c_str() + at + name.size());
}

constexpr double kMaxServiceS = 0.15;

// Draws the outcome of an attempt from a number in [0, 1). Returns kOpen for an attempt that hangs.
AttemptOutcome DrawOutcome(double draw) {
  constexpr double kHangsBelow = 0.02;
  constexpr double kResetsBelow = 0.05;
  constexpr double kFailsBelow = 0.06;
  constexpr double kNotStartedBelow = 0.08;
  if (draw < kHangsBelow) return AttemptOutcome::kOpen;
  if (draw < kResetsBelow) return AttemptOutcome::kReset;
  if (draw < kFailsBelow) return AttemptOutcome::kError;
  if (draw < kNotStartedBelow) return AttemptOutcome::kNotStarted;
  return AttemptOutcome::kAnswered;
}

}  // namespace

DiscoveryStandIn::DiscoveryStandIn(History* history, const std::vector<int>& ports)
    : history_(history),
      entries_(ports.size()),
      first_([this](Connection& connection) { Serve(connection); }),
      second_([this](Connection& connection) { Serve(connection); }) {
  for (size_t i = 0; i < ports.size(); ++i) entries_[i].port = ports[i];
}

DiscoveryStandIn::~DiscoveryStandIn() {
  std::lock_guard lock(mutex_);
  stopping_ = true;
  changed_.notify_all();
}

json DiscoveryStandIn::FullList() {
  std::lock_guard lock(mutex_);
  return List(-1);
}

void DiscoveryStandIn::SetState(int backend, ListState state) {
  std::lock_guard lock(mutex_);
  Entry& entry = entries_[static_cast<size_t>(backend)];
  if (entry.state == state) return;
  entry.state = state;
  entry.changed_at_index = ++index_;
  if (state == ListState::kReady) {
    if (entry.notice) history_->EndNotice(*entry.notice);
    entry.notice.reset();
    entry.notice_due = false;
  } else if (!entry.notice) {
    entry.notice_due = true;
    if (!silent_) RecordNotice(backend);
  }
  changed_.notify_all();
}

void DiscoveryStandIn::RecordNotice(int backend) {
  Entry& entry = entries_[static_cast<size_t>(backend)];
  entry.notice_due = false;
  entry.notice = history_->AddNotice({backend, history_->Now(), kIdleTimeoutS});
}

void DiscoveryStandIn::SetSilent(bool silent) {
  std::lock_guard lock(mutex_);
  silent_ = silent;
  for (size_t i = 0; i < entries_.size(); ++i) {
    if (!silent && entries_[i].notice_due) RecordNotice(static_cast<int>(i));
  }
  changed_.notify_all();
}

void DiscoveryStandIn::EndConnections() {
  first_.EndConnections();
  second_.EndConnections();
}

void DiscoveryStandIn::Serve(Connection& connection) {
  Message request;
  while (connection.ReadMessage(kIdleTimeoutS, &request) == ReadResult::kMessage) {
    long after = QueryNumber(request.head, "after=");
    double wait_s = static_cast<double>(QueryNumber(request.head, "wait_ms=")) / 1000;
    std::string reply = AwaitReply(after, wait_s);
    if (reply.empty() || !connection.Send(reply)) return;
  }
}

// Waits until the list changes after the index `after`, up to `wait_s`, and returns the response. A silent
// agent responds only when its silence ends. Returns an empty string if the soak ends.
std::string DiscoveryStandIn::AwaitReply(long after, double wait_s) {
  std::unique_lock lock(mutex_);
  auto has_changes = [&] { return stopping_ || (!silent_ && static_cast<long>(index_) > after); };
  auto wait = std::chrono::duration<double>(std::max(0.0, wait_s));
  changed_.wait_for(lock, wait, has_changes);
  changed_.wait(lock, [&] { return stopping_ || !silent_; });
  if (stopping_) return "";
  return Response("200 OK", "", List(after).dump());
}

json DiscoveryStandIn::Describe(size_t backend) const {
  const Entry& entry = entries_[backend];
  const char* status = entry.state == ListState::kReady      ? "active"
                       : entry.state == ListState::kDraining ? "leaving"
                                                             : "left";
  return {{"name", "s-" + std::to_string(backend)},
          {"address", "127.0.0.1:" + std::to_string(entry.port)},
          {"zone", "a"},
          {"type", "std"},
          {"group", static_cast<int>(backend) / 2},
          {"status", status},
          {"weight", 1.0},
          {"since_ms", 0}};
}

// Returns the full list if `after` is negative, and otherwise the changes after that index.
json DiscoveryStandIn::List(long after) const {
  bool full = after < 0;
  json endpoints = json::array();
  for (size_t i = 0; i < entries_.size(); ++i) {
    bool listed = full ? entries_[i].state != ListState::kGone
                       : static_cast<long>(entries_[i].changed_at_index) > after;
    if (listed) endpoints.push_back(Describe(i));
  }
  return {{"index", index_}, {"snapshot", full}, {"endpoints", endpoints}};
}

CounterStandIn::CounterStandIn()
    : first_([this](Connection& connection) { Serve(connection); }),
      second_([this](Connection& connection) { Serve(connection); }) {}

void CounterStandIn::LoseState() {
  std::lock_guard lock(mutex_);
  totals_.clear();
}

double CounterStandIn::Add(const std::string& key, double amount) {
  std::lock_guard lock(mutex_);
  return totals_[key] += amount;
}

// A call is a RESP2 array of four elements: TALLY, the key, the amount and the expiry. It arrives in nine
// lines, which are "*4" and, for each element, its length and its text.
void CounterStandIn::Serve(Connection& connection) {
  constexpr int kLinesOfACall = 9;
  constexpr int kKeyLine = 4;
  constexpr int kAmountLine = 6;
  std::vector<std::string> lines;
  std::string line;
  while (connection.ReadLine(kIdleTimeoutS, &line) == ReadResult::kMessage) {
    lines.push_back(line);
    if (lines.size() < kLinesOfACall) continue;
    while (silent_) std::this_thread::sleep_for(std::chrono::milliseconds(5));
    std::string total = std::to_string(Add(lines[kKeyLine], std::atof(lines[kAmountLine].c_str())));
    lines.clear();
    std::string reply = "$";
    reply += std::to_string(total.size()) + "\r\n" + total + "\r\n";
    if (!connection.Send(reply)) return;
  }
}

BackendStandIn::BackendStandIn(History* history, int number, uint64_t seed)
    : history_(history),
      number_(number),
      seed_(seed),
      server_([this](Connection& connection) { Serve(connection); }) {}

void BackendStandIn::Serve(Connection& connection) {
  while (ServeRequest(connection)) {
  }
}

bool BackendStandIn::ServeRequest(Connection& connection) {
  if (!connection.HasBytes() && !connection.WaitForInput(kIdleTimeoutS)) return false;
  AttemptRecord attempt;
  attempt.first_byte_s = history_->Now();
  Message request;
  if (connection.ReadMessage(kIdleTimeoutS, &request) != ReadResult::kMessage) return false;
  attempt.request_id = request.Field("Request-Id");
  attempt.backend = number_;
  attempt.received_s = history_->Now();
  attempt.forwarded_timeout_s = std::atof(request.Field("Request-Timeout-Ms").c_str()) / 1000;
  size_t index = history_->AddAttempt(attempt);
  uint64_t id = std::strtoull(attempt.request_id.c_str(), nullptr, 16);
  Random random(policy::MixBits(seed_ ^ id) + attempts_++);
  return Answer(connection, index, DrawOutcome(random.Uniform()),
                kMaxServiceS * random.Uniform() * random.Uniform());
}

// Records the outcome before it is sent, since the gateway may act on it before this thread continues.
bool BackendStandIn::Answer(Connection& connection, size_t index, AttemptOutcome outcome, double service_s) {
  constexpr double kHangS = 4;
  bool hangs = hanging_ || outcome == AttemptOutcome::kOpen;
  if (connection.WaitForInput(hangs ? kHangS : service_s)) outcome = AttemptOutcome::kClosedByGateway;
  if (outcome == AttemptOutcome::kOpen) outcome = AttemptOutcome::kReset;
  history_->EndAttempt(index, outcome);
  switch (outcome) {
    case AttemptOutcome::kAnswered: return connection.Send(Response("200 OK", "", "ok"));
    case AttemptOutcome::kError: return connection.Send(Response("500 Internal Server Error", "", ""));
    case AttemptOutcome::kNotStarted:
      return connection.Send(Response("503 Service Unavailable", "Not-Started: 1\r\n", ""));
    case AttemptOutcome::kReset:
      if (service_s > kMaxServiceS / 4) connection.Send("HTTP/1.1 200 OK\r\nContent-Le");
      connection.Reset();
      return false;
    case AttemptOutcome::kOpen:
    case AttemptOutcome::kClosedByGateway: return false;
  }
  return false;
}

}  // namespace gateway::lab::soak
