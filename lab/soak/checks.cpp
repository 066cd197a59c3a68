#include "lab/soak/checks.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace gateway::lab::soak {
namespace {

// From the operators' pages.
constexpr double kSocketSlackS = 0.05;  // on every time limit
constexpr double kLateAnswerS = 0.5;
constexpr double kClientLeftS = 0.1;
constexpr double kToldTimeoutSlackS = 0.15;
// A stand-in's thread sees late, on a busy machine, that a gateway has closed an attempt's connection.
constexpr double kCloseSeenLateS = 0.25;
constexpr int kMaxAttempts = 4;  // as MakeConfiguration sets it

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
    for (const RequestRecord& request : history.requests) sendings_[request.id].push_back(&request);
    for (auto& [id, attempts] : attempts_) {
      std::sort(attempts.begin(), attempts.end(),
                [](const auto* a, const auto* b) { return a->begun_s < b->begun_s; });
    }
  }

  std::vector<Violation> Check() {
    for (const RequestRecord& request : history_.requests) CheckRequest(request);
    for (const AttemptRecord& attempt : history_.attempts) CheckAttempt(attempt);
    for (const auto& [id, attempts] : attempts_) CheckAttemptsOf(id, attempts);
    for (const ExitRecord& exit : history_.exits) CheckExit(exit);
    for (const StartRecord& start : history_.starts) {
      if (start.ready_s < 0) Add(Rule::kReady, start.started_s, "", GatewayText(start.gateway));
    }
    for (const EventRecord& leak : history_.leaks) Add(Rule::kDescriptors, leak.at_s, "", leak.text);
    std::sort(violations_.begin(), violations_.end(),
              [](const Violation& a, const Violation& b) { return a.at_s < b.at_s; });
    return violations_;
  }

 private:
  void Add(Rule rule, double at_s, const std::string& id, const std::string& text) {
    violations_.push_back({rule, at_s, id, text});
  }

  static std::string GatewayText(int gateway) { return "gateway " + std::to_string(gateway); }

  // For how long the gateway, or the soak's own threads, stood still in that time.
  double HeldS(int gateway, double from_s, double to_s) const {
    double held_s = 0;
    for (const HoldRecord& hold : history_.holds) {
      if (hold.gateway != gateway && hold.gateway != kAllGateways) continue;
      held_s += std::max(0.0, std::min(to_s, hold.to_s) - std::max(from_s, hold.from_s));
    }
    return held_s;
  }

  double SlackS(int gateway, double from_s, double to_s) const {
    return kSocketSlackS + HeldS(gateway, from_s, to_s);
  }

  void CheckRequest(const RequestRecord& request) {
    switch (request.end) {
      case RequestEnd::kAnswered: return CheckAnswerTime(request);
      case RequestEnd::kNoAnswer:
        return Add(Rule::kAnswerInTime, request.sent_s, request.id, "no answer at all");
      case RequestEnd::kClosedRead:
        return Add(Rule::kReadIsAnswered, request.ended_s, request.id,
                   "its connection was closed after it was read");
      case RequestEnd::kClosedUnread: return CheckClosedUnread(request);
      case RequestEnd::kClientLeft: return CheckClientLeft(request);
      case RequestEnd::kPending:
      case RequestEnd::kGatewayDown:
      case RequestEnd::kUnobserved: return;
    }
  }

  void CheckAnswerTime(const RequestRecord& request) {
    double took_s = request.ended_s - request.sent_s;
    double allowed_s =
        request.timeout_s + kLateAnswerS + SlackS(request.gateway, request.sent_s, request.ended_s);
    if (took_s <= allowed_s) return;
    Add(Rule::kAnswerInTime, request.ended_s, request.id,
        Format("answered after %.3f s where %.3f s are allowed", took_s, allowed_s));
  }

  void CheckClosedUnread(const RequestRecord& request) {
    for (const AttemptRecord* attempt : AttemptsOf(request.id)) {
      if (attempt->begun_s < request.sent_s || attempt->begun_s > request.ended_s) continue;
      Add(Rule::kForwardedIsAnswered, request.ended_s, request.id,
          "forwarded, then its connection was closed without an answer");
    }
    // Where idle clients fill the places new connections may be closed unread.
    if (!request.sent_again || deployment_.idle_clients > 0) return;
    Add(Rule::kClosedUnreadOnce, request.ended_s, request.id, "closed unread twice");
  }

  void CheckClientLeft(const RequestRecord& request) {
    for (const AttemptRecord* attempt : AttemptsOf(request.id)) {
      double after_s = attempt->first_byte_s - request.ended_s;
      double allowed_s = kClientLeftS + SlackS(request.gateway, request.ended_s, attempt->first_byte_s);
      if (after_s <= allowed_s) continue;
      Add(Rule::kClientLeft, attempt->first_byte_s, request.id,
          Format("an attempt %.3f s after its client left, allowed %.3f s", after_s, allowed_s));
    }
  }

  const std::vector<const AttemptRecord*>& AttemptsOf(const std::string& id) const {
    static const std::vector<const AttemptRecord*> kNone;
    auto it = attempts_.find(id);
    return it == attempts_.end() ? kNone : it->second;
  }

  // The last sending before the attempt; null for an id that no client sent.
  const RequestRecord* SendingOf(const AttemptRecord& attempt) const {
    auto it = sendings_.find(attempt.request_id);
    if (it == sendings_.end()) return nullptr;
    const RequestRecord* last = it->second.front();
    for (const RequestRecord* sending : it->second) {
      if (sending->sent_s <= attempt.begun_s + kSocketSlackS) last = sending;
    }
    return last;
  }

  void CheckAttempt(const AttemptRecord& attempt) {
    const RequestRecord* request = SendingOf(attempt);
    if (request == nullptr) {
      return Add(Rule::kAttempts, attempt.begun_s, attempt.request_id, "no client has sent it");
    }
    double left_s = request->sent_s + request->timeout_s - attempt.begun_s;
    double allowed_s =
        left_s + kToldTimeoutSlackS + SlackS(request->gateway, request->sent_s, attempt.begun_s);
    if (attempt.told_timeout_s > allowed_s) {
      Add(Rule::kToldTimeout, attempt.begun_s, attempt.request_id,
          Format("told %.3f s where %.3f s are allowed", attempt.told_timeout_s, allowed_s));
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
      Add(Rule::kDrain, attempt.first_byte_s, attempt.request_id,
          "backend " + std::to_string(attempt.backend) +
              Format(", %.3f s after the notice where %.3f s are allowed", after_s, allowed_s));
    }
  }

  // When the gateway's process that was there at `at_s` counts as notified: not before its start, and not
  // while it could not have reached the agent then.
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
    auto sendings = sendings_.find(id);
    if (sendings == sendings_.end()) return;
    const RequestRecord& request = *sendings->second.front();
    int allowed = kMaxAttempts * static_cast<int>(sendings->second.size());
    if (static_cast<int>(attempts.size()) > allowed) {
      Add(Rule::kAttempts, attempts.back()->begun_s, id, std::to_string(attempts.size()) + " attempts");
    }
    for (size_t i = 1; i < attempts.size(); ++i) {
      for (size_t j = 0; j < i; ++j) CheckPair(request, *attempts[j], *attempts[i]);
    }
  }

  void CheckPair(const RequestRecord& request, const AttemptRecord& earlier, const AttemptRecord& later) {
    double slack_s = SlackS(request.gateway, earlier.begun_s, later.begun_s);
    if (earlier.end == AttemptEnd::kGivenUp) slack_s += kCloseSeenLateS;
    bool beside = earlier.end == AttemptEnd::kOpen || later.begun_s < earlier.ended_s - slack_s;
    if (beside && !deployment_.hedging) {
      Add(Rule::kAttempts, later.begun_s, request.id, "an attempt beside another, which is forbidden");
    }
    bool never_ran = earlier.end == AttemptEnd::kNotStarted && !beside;
    if (never_ran || request.request_class == RequestClass::kIdempotent) return;
    if (request.request_class == RequestClass::kNonIdempotent) {
      return Add(Rule::kRunOnce, later.begun_s, request.id, "sent again though it may have run");
    }
    double window_s = deployment_.classes[static_cast<int>(request.request_class)].deduplication_window_s;
    if (later.begun_s - earlier.begun_s > window_s + slack_s) {
      Add(Rule::kRunOnce, later.begun_s, request.id, "sent again after its window");
    }
  }

  void CheckExit(const ExitRecord& exit) {
    if (exit.killed || exit.status == 0) return;
    Add(Rule::kExit, exit.at_s, "", GatewayText(exit.gateway) + " status " + std::to_string(exit.status));
  }

  const Deployment& deployment_;
  const HistoryData& history_;
  std::map<std::string, std::vector<const AttemptRecord*>> attempts_;  // by request, in the order of time
  std::map<std::string, std::vector<const RequestRecord*>> sendings_;  // by request
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
    case Rule::kToldTimeout: return "told_timeout";
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
