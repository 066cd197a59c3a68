#include "lab/soak/checks.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace gateway::lab::soak {
namespace {

// Limits from the operators' pages.
constexpr double kTimeLimitSlackS = 0.05;  // slack for sockets, added to every time limit
constexpr double kMaxAnswerDelayS = 0.5;
constexpr double kMaxAttemptAfterClientLeftS = 0.1;
constexpr double kForwardedTimeoutSlackS = 0.15;
// Additional slack, because on a busy machine the thread of a stand-in notices late that a gateway closed an
// attempt's connection.
constexpr double kCloseDetectionDelayS = 0.25;
constexpr int kMaxAttempts = 4;  // the value of limits.try-limit in MakeConfiguration()

std::string Format(const char* format, double first, double second) {
  char text[160];
  std::snprintf(text, sizeof(text), format, first, second);
  return text;
}

class Checker {
 public:
  Checker(const Deployment& deployment, const HistoryData& history)
      : deployment_(deployment), history_(history) {
    for (const AttemptRecord& attempt : history.attempts) attempts_[attempt.request_id].push_back(&attempt);
    for (const RequestRecord& request : history.requests) transmissions_[request.id].push_back(&request);
    for (auto& [id, attempts] : attempts_) {
      std::sort(attempts.begin(), attempts.end(),
                [](const auto* a, const auto* b) { return a->received_s < b->received_s; });
    }
  }

  std::vector<Violation> Check() {
    for (const RequestRecord& request : history_.requests) CheckRequest(request);
    for (const AttemptRecord& attempt : history_.attempts) CheckAttempt(attempt);
    for (const auto& [id, attempts] : attempts_) CheckAttemptsOf(id, attempts);
    for (const ExitRecord& exit : history_.exits) CheckExit(exit);
    for (const StartRecord& start : history_.starts) {
      if (start.ready_s < 0) AddViolation(Rule::kReady, start.started_s, "", GatewayText(start.gateway));
    }
    for (const EventRecord& leak : history_.leaks) AddViolation(Rule::kDescriptors, leak.at_s, "", leak.text);
    std::sort(violations_.begin(), violations_.end(),
              [](const Violation& a, const Violation& b) { return a.at_s < b.at_s; });
    return violations_;
  }

 private:
  void AddViolation(Rule rule, double at_s, const std::string& id, const std::string& text) {
    violations_.push_back({rule, at_s, id, text});
  }

  static std::string GatewayText(int gateway) { return "gateway " + std::to_string(gateway); }

  // Returns how long the gateway or the soak's own threads were paused between the two times.
  double PausedS(int gateway, double from_s, double to_s) const {
    double paused_s = 0;
    for (const PauseRecord& pause : history_.pauses) {
      if (pause.gateway != gateway && pause.gateway != kAllGateways) continue;
      paused_s += std::max(0.0, std::min(to_s, pause.to_s) - std::max(from_s, pause.from_s));
    }
    return paused_s;
  }

  double SlackS(int gateway, double from_s, double to_s) const {
    return kTimeLimitSlackS + PausedS(gateway, from_s, to_s);
  }

  void CheckRequest(const RequestRecord& request) {
    switch (request.outcome) {
      case RequestOutcome::kAnswered: return CheckAnswerTime(request);
      case RequestOutcome::kNoAnswer:
        return AddViolation(Rule::kAnswerInTime, request.sent_s, request.id,
                            "the client received no response");
      case RequestOutcome::kClosedRead:
        return AddViolation(Rule::kReadIsAnswered, request.ended_s, request.id,
                            "the gateway closed the connection after it had read the request");
      case RequestOutcome::kClosedUnread: return CheckClosedUnread(request);
      case RequestOutcome::kClientLeft: return CheckClientLeft(request);
      case RequestOutcome::kPending:
      case RequestOutcome::kGatewayDown:
      case RequestOutcome::kUnobserved: return;
    }
  }

  void CheckAnswerTime(const RequestRecord& request) {
    double took_s = request.ended_s - request.sent_s;
    double allowed_s =
        request.timeout_s + kMaxAnswerDelayS + SlackS(request.gateway, request.sent_s, request.ended_s);
    if (took_s <= allowed_s) return;
    AddViolation(Rule::kAnswerInTime, request.ended_s, request.id,
                 Format("response after %.3f s, the limit is %.3f s", took_s, allowed_s));
  }

  void CheckClosedUnread(const RequestRecord& request) {
    for (const AttemptRecord* attempt : AttemptsOf(request.id)) {
      if (attempt->received_s < request.sent_s || attempt->received_s > request.ended_s) continue;
      AddViolation(Rule::kForwardedIsAnswered, request.ended_s, request.id,
                   "the request was forwarded and its connection closed without a response");
    }
    // If idle clients use all connection slots, the gateway may close new connections without reading.
    if (!request.is_resend || deployment_.idle_clients > 0) return;
    AddViolation(Rule::kClosedUnreadOnce, request.ended_s, request.id,
                 "the connection was closed before the request was read, for the second time");
  }

  void CheckClientLeft(const RequestRecord& request) {
    for (const AttemptRecord* attempt : AttemptsOf(request.id)) {
      double after_s = attempt->first_byte_s - request.ended_s;
      double allowed_s =
          kMaxAttemptAfterClientLeftS + SlackS(request.gateway, request.ended_s, attempt->first_byte_s);
      if (after_s <= allowed_s) continue;
      AddViolation(
          Rule::kClientLeft, attempt->first_byte_s, request.id,
          Format("an attempt began %.3f s after the client left, the limit is %.3f s", after_s, allowed_s));
    }
  }

  const std::vector<const AttemptRecord*>& AttemptsOf(const std::string& id) const {
    static const std::vector<const AttemptRecord*> kNone;
    auto it = attempts_.find(id);
    return it == attempts_.end() ? kNone : it->second;
  }

  // Returns the last transmission before the attempt, or null for an id that no client sent.
  const RequestRecord* FindTransmission(const AttemptRecord& attempt) const {
    auto it = transmissions_.find(attempt.request_id);
    if (it == transmissions_.end()) return nullptr;
    const RequestRecord* last = it->second.front();
    for (const RequestRecord* transmission : it->second) {
      if (transmission->sent_s <= attempt.received_s + kTimeLimitSlackS) last = transmission;
    }
    return last;
  }

  void CheckAttempt(const AttemptRecord& attempt) {
    const RequestRecord* request = FindTransmission(attempt);
    if (request == nullptr) {
      return AddViolation(Rule::kAttempts, attempt.received_s, attempt.request_id,
                          "no client sent this request");
    }
    double left_s = request->sent_s + request->timeout_s - attempt.received_s;
    double allowed_s =
        left_s + kForwardedTimeoutSlackS + SlackS(request->gateway, request->sent_s, attempt.received_s);
    if (attempt.forwarded_timeout_s > allowed_s) {
      AddViolation(
          Rule::kForwardedTimeout, attempt.received_s, attempt.request_id,
          Format("forwarded timeout is %.3f s, the limit is %.3f s", attempt.forwarded_timeout_s, allowed_s));
    }
    CheckDrain(attempt, request->gateway);
  }

  void CheckDrain(const AttemptRecord& attempt, int gateway) {
    for (const NoticeRecord& notice : history_.notices) {
      if (notice.backend != attempt.backend || attempt.first_byte_s > notice.until_s) continue;
      double notified_s = NotifiedS(notice, gateway, attempt.first_byte_s);
      double after_s = attempt.first_byte_s - notified_s;
      double allowed_s = deployment_.drain_grace_s + SlackS(gateway, notified_s, attempt.first_byte_s);
      if (after_s <= allowed_s) continue;
      AddViolation(Rule::kDrain, attempt.first_byte_s, attempt.request_id,
                   "backend " + std::to_string(attempt.backend) +
                       Format(", %.3f s after the notice, the limit is %.3f s", after_s, allowed_s));
    }
  }

  // Returns the time at which the gateway process that ran at `at_s` counts as notified. That is not before
  // the process started and, if the agent was silent at that start, not before its silence ended.
  double NotifiedS(const NoticeRecord& notice, int gateway, double at_s) const {
    double notified_s = notice.notified_s;
    for (const StartRecord& start : history_.starts) {
      if (start.gateway == gateway && start.started_s <= at_s) {
        notified_s = std::max(notified_s, start.started_s);
      }
    }
    for (const SilenceRecord& silence : history_.silences) {
      bool unreachable = silence.from_s <= notified_s && notified_s < silence.to_s;
      if (unreachable && notified_s > notice.notified_s) notified_s = silence.to_s;
    }
    return notified_s;
  }

  void CheckAttemptsOf(const std::string& id, const std::vector<const AttemptRecord*>& attempts) {
    auto transmissions = transmissions_.find(id);
    if (transmissions == transmissions_.end()) return;
    const RequestRecord& request = *transmissions->second.front();
    int allowed = kMaxAttempts * static_cast<int>(transmissions->second.size());
    if (static_cast<int>(attempts.size()) > allowed) {
      AddViolation(Rule::kAttempts, attempts.back()->received_s, id,
                   std::to_string(attempts.size()) + " attempts");
    }
    for (size_t i = 1; i < attempts.size(); ++i) {
      for (size_t j = 0; j < i; ++j) CheckPair(request, *attempts[j], *attempts[i]);
    }
  }

  void CheckPair(const RequestRecord& request, const AttemptRecord& earlier, const AttemptRecord& later) {
    double slack_s = SlackS(request.gateway, earlier.received_s, later.received_s);
    if (earlier.outcome == AttemptOutcome::kClosedByGateway) slack_s += kCloseDetectionDelayS;
    bool concurrent =
        earlier.outcome == AttemptOutcome::kOpen || later.received_s < earlier.ended_s - slack_s;
    if (concurrent && !deployment_.hedging) {
      AddViolation(Rule::kAttempts, later.received_s, request.id,
                   "two concurrent attempts, though hedging is disabled");
    }
    bool never_executed = earlier.outcome == AttemptOutcome::kNotStarted && !concurrent;
    if (never_executed || request.request_class == RequestClass::kIdempotent) return;
    if (request.request_class == RequestClass::kNonIdempotent) {
      return AddViolation(Rule::kRunOnce, later.received_s, request.id,
                          "sent again though it may have been executed");
    }
    double window_s = deployment_.classes[static_cast<int>(request.request_class)].deduplication_window_s;
    if (later.received_s - earlier.received_s > window_s + slack_s) {
      AddViolation(Rule::kRunOnce, later.received_s, request.id, "sent again after its deduplication window");
    }
  }

  void CheckExit(const ExitRecord& exit) {
    if (exit.killed || exit.status == 0) return;
    AddViolation(Rule::kExit, exit.at_s, "",
                 GatewayText(exit.gateway) + " status " + std::to_string(exit.status));
  }

  const Deployment& deployment_;
  const HistoryData& history_;
  std::map<std::string, std::vector<const AttemptRecord*>> attempts_;       // by request id, sorted by time
  std::map<std::string, std::vector<const RequestRecord*>> transmissions_;  // by request id
  std::vector<Violation> violations_;
};

}  // namespace

const char* Name(Rule rule) {
  switch (rule) {
    case Rule::kAnswerInTime: return "answer_in_time";
    case Rule::kReadIsAnswered: return "read_is_answered";
    case Rule::kForwardedIsAnswered: return "forwarded_is_answered";
    case Rule::kClosedUnreadOnce: return "closed_unread_once";
    case Rule::kClientLeft: return "client_left";
    case Rule::kDrain: return "drain";
    case Rule::kRunOnce: return "run_once";
    case Rule::kForwardedTimeout: return "told_timeout";
    case Rule::kAttempts: return "attempts";
    case Rule::kExit: return "exit";
    case Rule::kReady: return "ready";
    case Rule::kDescriptors: return "descriptors";
  }
  return "";
}

std::vector<Violation> CheckHistory(const Deployment& deployment, const HistoryData& history) {
  return Checker(deployment, history).Check();
}

}  // namespace gateway::lab::soak
