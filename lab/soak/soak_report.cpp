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

const char* Name(RequestEnd end) {
  switch (end) {
    case RequestEnd::kPending: return "pending";
    case RequestEnd::kAnswered: return "answered";
    case RequestEnd::kClosedRead: return "closed_read";
    case RequestEnd::kClosedUnread: return "closed_unread";
    case RequestEnd::kNoAnswer: return "no_answer";
    case RequestEnd::kClientLeft: return "client_left";
    case RequestEnd::kGatewayDown: return "gateway_down";
    case RequestEnd::kUnobserved: return "unobserved";
  }
  return "";
}

const char* Name(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kOpen: return "open";
    case AttemptEnd::kAnswered: return "answered";
    case AttemptEnd::kError: return "error";
    case AttemptEnd::kNotStarted: return "not_started";
    case AttemptEnd::kReset: return "reset";
    case AttemptEnd::kGivenUp: return "given_up";
  }
  return "";
}

std::string Line(const char* format, double at_s) {
  char text[64];
  std::snprintf(text, sizeof(text), format, at_s);
  return text;
}

void AppendRequest(const HistoryData& history, const std::string& id, std::ostringstream* out) {
  for (const RequestRecord& request : history.requests) {
    if (request.id != id) continue;
    *out << Line("    %8.3f sent", request.sent_s) << " class=" << ClassName(request.request_class)
         << " gateway=" << request.gateway << " timeout_s=" << request.timeout_s
         << " again=" << request.sent_again << Line("; %.3f ", request.ended_s) << Name(request.end) << ' '
         << request.status << '\n';
  }
  for (const AttemptRecord& attempt : history.attempts) {
    if (attempt.request_id != id) continue;
    *out << Line("    %8.3f attempt", attempt.first_byte_s) << " backend=" << attempt.backend
         << " told_s=" << attempt.told_timeout_s << Line("; %.3f ", attempt.ended_s) << Name(attempt.end)
         << '\n';
  }
}

void AppendEvents(const HistoryData& history, double at_s, std::ostringstream* out) {
  auto near = [at_s](double event_s) {
    return event_s > at_s - kEventsBeforeS && event_s < at_s + kEventsAfterS;
  };
  for (const EventRecord& event : history.events) {
    if (near(event.at_s)) *out << Line("    %8.3f event ", event.at_s) << event.text << '\n';
  }
  for (const ExitRecord& exit : history.exits) {
    if (!near(exit.at_s)) continue;
    *out << Line("    %8.3f exit", exit.at_s) << " gateway=" << exit.gateway << " status=" << exit.status
         << " killed=" << exit.killed << '\n';
  }
  for (const StartRecord& start : history.starts) {
    if (near(start.started_s))
      *out << Line("    %8.3f start", start.started_s) << " gateway=" << start.gateway << '\n';
  }
}

std::map<std::string, int> CountEnds(const HistoryData& history) {
  std::map<std::string, int> counts;
  for (const RequestRecord& request : history.requests) {
    bool answered = request.end == RequestEnd::kAnswered;
    ++counts[answered ? std::to_string(request.status) : Name(request.end)];
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
      << (result.deployment.idle_clients > 0 ? " with a crowd" : "") << ", " << history.requests.size()
      << " requests, " << history.attempts.size() << " attempts, " << history.events.size() << " events, "
      << history.exits.size() << " ends of a process;";
  for (const auto& [name, count] : CountEnds(history)) out << ' ' << name << '=' << count;
  out << "; breaks " << result.violations.size();
  return out.str();
}

std::string DescribeViolation(const SoakOptions& options, const SoakResult& result,
                              const Violation& violation) {
  std::ostringstream out;
  out << "  " << Name(violation.rule) << Line(" at %.3f s: ", violation.at_s) << violation.text
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
                      {"ends", CountEnds(result.history)},
                      {"attempts", result.history.attempts.size()},
                      {"events", result.history.events.size()},
                      {"breaks", violations}});
  }
  return report.dump(2) + "\n";
}

}  // namespace gateway::lab::soak
