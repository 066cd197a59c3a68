#include <algorithm>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "lab/soak/soak.h"

namespace gateway::lab::soak {
namespace {

using nlohmann::json;

constexpr double kEventsBeforeS = 3;
constexpr double kEventsAfterS = 0.5;

const char* Name(RequestOutcome outcome) {
  switch (outcome) {
    case RequestOutcome::kPending: return "pending";
    case RequestOutcome::kAnswered: return "answered";
    case RequestOutcome::kClosedRead: return "closed_read";
    case RequestOutcome::kClosedUnread: return "closed_unread";
    case RequestOutcome::kNoAnswer: return "no_answer";
    case RequestOutcome::kClientLeft: return "client_left";
    case RequestOutcome::kGatewayDown: return "gateway_down";
    case RequestOutcome::kUnobserved: return "unobserved";
  }
  return "";
}

const char* Name(AttemptOutcome outcome) {
  switch (outcome) {
    case AttemptOutcome::kOpen: return "open";
    case AttemptOutcome::kAnswered: return "answered";
    case AttemptOutcome::kError: return "error";
    case AttemptOutcome::kNotStarted: return "not_started";
    case AttemptOutcome::kReset: return "reset";
    case AttemptOutcome::kClosedByGateway: return "given_up";
  }
  return "";
}

std::string FormatTime(const char* format, double at_s) {
  char text[64];
  std::snprintf(text, sizeof(text), format, at_s);
  return text;
}

void AppendRequest(const HistoryData& history, const std::string& id, std::ostringstream* out) {
  for (const RequestRecord& request : history.requests) {
    if (request.id != id) continue;
    *out << FormatTime("    %8.3f sent", request.sent_s) << " class=" << ClassName(request.request_class)
         << " gateway=" << request.gateway << " timeout_s=" << request.timeout_s
         << " again=" << request.is_resend << FormatTime("; %.3f ", request.ended_s) << Name(request.outcome)
         << ' ' << request.status << '\n';
  }
  for (const AttemptRecord& attempt : history.attempts) {
    if (attempt.request_id != id) continue;
    *out << FormatTime("    %8.3f attempt", attempt.first_byte_s) << " backend=" << attempt.backend
         << " told_s=" << attempt.forwarded_timeout_s << FormatTime("; %.3f ", attempt.ended_s)
         << Name(attempt.outcome) << '\n';
  }
}

void AppendEvents(const HistoryData& history, double at_s, std::ostringstream* out) {
  auto near = [at_s](double event_s) {
    return event_s > at_s - kEventsBeforeS && event_s < at_s + kEventsAfterS;
  };
  for (const EventRecord& event : history.events) {
    if (near(event.at_s)) *out << FormatTime("    %8.3f event ", event.at_s) << event.text << '\n';
  }
  for (const ExitRecord& exit : history.exits) {
    if (!near(exit.at_s)) continue;
    *out << FormatTime("    %8.3f exit", exit.at_s) << " gateway=" << exit.gateway
         << " status=" << exit.status << " killed=" << exit.killed << '\n';
  }
  for (const StartRecord& start : history.starts) {
    if (near(start.started_s))
      *out << FormatTime("    %8.3f start", start.started_s) << " gateway=" << start.gateway << '\n';
  }
}

std::map<std::string, int> CountOutcomes(const HistoryData& history) {
  std::map<std::string, int> counts;
  for (const RequestRecord& request : history.requests) {
    bool answered = request.outcome == RequestOutcome::kAnswered;
    ++counts[answered ? std::to_string(request.status) : Name(request.outcome)];
  }
  return counts;
}

json DeploymentJson(const Deployment& deployment) {
  return {{"gateways", deployment.gateways},       {"backends", deployment.backends},
          {"clients", deployment.clients},         {"drain_grace_s", deployment.drain_grace_s},
          {"hedging", deployment.hedging},         {"cancellation", deployment.cancellation},
          {"max_sockets", deployment.max_sockets}, {"idle_clients", deployment.idle_clients}};
}

}  // namespace

std::string Summarize(const SoakResult& result) {
  std::ostringstream out;
  const HistoryData& history = result.history;
  out << "seed " << result.seed << ": " << result.deployment.gateways << " gateways"
      << (result.deployment.idle_clients > 0 ? " with idle clients" : "") << ", " << history.requests.size()
      << " requests, " << history.attempts.size() << " attempts, " << history.events.size() << " events, "
      << history.exits.size() << " process exits;";
  for (const auto& [name, count] : CountOutcomes(history)) out << ' ' << name << '=' << count;
  out << "; breaks " << result.violations.size();
  return out.str();
}

std::string DescribeViolation(const SoakOptions& options, const SoakResult& result,
                              const Violation& violation) {
  std::ostringstream out;
  out << "  " << Name(violation.rule) << FormatTime(" at %.3f s: ", violation.at_s) << violation.text
      << " (request " << violation.request_id << ")\n";
  if (!violation.request_id.empty()) AppendRequest(result.history, violation.request_id, &out);
  AppendEvents(result.history, violation.at_s, &out);
  out << "    again: gateway-lab soak --seeds " << result.seed << " --seconds " << options.duration_s << '\n';
  return out.str();
}

std::string ToJson(const std::vector<SoakResult>& results) {
  json report = json::array();
  for (const SoakResult& result : results) {
    json violations = json::array();
    for (const Violation& violation : result.violations) {
      violations.push_back({{"rule", Name(violation.rule)},
                            {"at_s", violation.at_s},
                            {"request_id", violation.request_id},
                            {"text", violation.text}});
    }
    report.push_back({{"seed", result.seed},
                      {"deployment", DeploymentJson(result.deployment)},
                      {"ends", CountOutcomes(result.history)},
                      {"attempts", result.history.attempts.size()},
                      {"events", result.history.events.size()},
                      {"breaks", violations}});
  }
  return report.dump(2) + "\n";
}

}  // namespace gateway::lab::soak
