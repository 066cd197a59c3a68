// Each rule of the soak on a history that breaks it: a check that cannot fail is none.
#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "lab/soak/checks.h"

namespace gateway::lab::soak {
namespace {

Deployment MakeDeployment() {
  Deployment deployment;
  deployment.gateways = 1;
  for (ClassOptions& options : deployment.classes) options = {0.5, 2, 1};
  deployment.drain_grace_s = 0.5;
  return deployment;
}

// A request that was answered by its only attempt.
HistoryData WholeHistory(RequestClass request_class = RequestClass::kNonIdempotent) {
  HistoryData history;
  RequestRecord request;
  request.id = "a";
  request.request_class = request_class;
  request.sent_s = 10;
  request.timeout_s = 2;
  request.end = RequestEnd::kAnswered;
  request.ended_s = 10.2;
  request.status = 200;
  history.requests.push_back(request);
  history.attempts.push_back({"a", 3, 10.01, 10.01, 1.9, AttemptEnd::kAnswered, 10.2});
  history.starts.push_back({0, 0, 0.1});
  history.exits.push_back({0, 20, false, 0});
  return history;
}

std::vector<Rule> BrokenRules(const HistoryData& history) {
  std::vector<Rule> rules;
  for (const Violation& violation : CheckHistory(MakeDeployment(), history)) rules.push_back(violation.rule);
  return rules;
}

void ExpectBroken(Rule rule, const HistoryData& history) {
  EXPECT_EQ(BrokenRules(history), std::vector<Rule>{rule}) << Name(rule);
}

TEST(SoakChecks, FindNothingInAWholeHistory) { EXPECT_TRUE(BrokenRules(WholeHistory()).empty()); }

TEST(SoakChecks, FindAnAnswerThatIsLateOrNeverComes) {
  HistoryData late = WholeHistory();
  late.requests[0].ended_s = 12.6;
  ExpectBroken(Rule::kAnswerInTime, late);
  late.holds.push_back({0, 11, 11.2});  // of the gateway's process
  EXPECT_TRUE(BrokenRules(late).empty());
  HistoryData never = WholeHistory();
  never.requests[0].end = RequestEnd::kNoAnswer;
  ExpectBroken(Rule::kAnswerInTime, never);
}

TEST(SoakChecks, FindAConnectionThatIsClosedOverARequest) {
  HistoryData read = WholeHistory();
  read.attempts.clear();
  read.requests[0].end = RequestEnd::kClosedRead;
  ExpectBroken(Rule::kReadIsAnswered, read);
  HistoryData forwarded = WholeHistory();
  forwarded.requests[0].end = RequestEnd::kClosedUnread;
  ExpectBroken(Rule::kForwardedIsAnswered, forwarded);
  HistoryData twice = WholeHistory();
  twice.attempts.clear();
  twice.requests[0].end = RequestEnd::kClosedUnread;
  EXPECT_TRUE(BrokenRules(twice).empty());
  twice.requests[0].sent_again = true;
  ExpectBroken(Rule::kClosedUnreadOnce, twice);
}

TEST(SoakChecks, FindAnAttemptAfterItsClientHasLeft) {
  HistoryData history = WholeHistory();
  history.requests[0].end = RequestEnd::kClientLeft;
  history.requests[0].ended_s = 10.005;
  EXPECT_TRUE(BrokenRules(history).empty());
  history.attempts[0].first_byte_s = history.attempts[0].begun_s = 10.2;
  history.attempts[0].told_timeout_s = 1.8;
  ExpectBroken(Rule::kClientLeft, history);
}

TEST(SoakChecks, FindAnAttemptAfterTheGrace) {
  HistoryData history = WholeHistory();
  history.notices.push_back({3, 9.4, 100});
  ExpectBroken(Rule::kDrain, history);
  history.notices[0].until_s = 10;  // listed as ready again
  EXPECT_TRUE(BrokenRules(history).empty());
  history.notices[0] = {3, 9.6, 100};  // within the grace
  EXPECT_TRUE(BrokenRules(history).empty());
  // A process counts as notified from its first moment, or from when the agent can be reached.
  history.notices[0] = {3, 5, 100};
  history.starts.push_back({0, 9.4, 0.1});
  ExpectBroken(Rule::kDrain, history);
  history.silences.push_back({9, 9.8});
  EXPECT_TRUE(BrokenRules(history).empty());
}

TEST(SoakChecks, FindASecondRunOfWhatMustRunOnce) {
  HistoryData history = WholeHistory();
  history.attempts.push_back({"a", 4, 10.5, 10.5, 1.4, AttemptEnd::kAnswered, 10.6});
  history.attempts[0].end = AttemptEnd::kReset;
  ExpectBroken(Rule::kRunOnce, history);
  history.attempts[0].end = AttemptEnd::kNotStarted;
  EXPECT_TRUE(BrokenRules(history).empty());
  HistoryData keyed = WholeHistory(RequestClass::kIdempotencyKey);
  keyed.attempts[0].end = AttemptEnd::kReset;
  keyed.attempts.push_back({"a", 4, 10.8, 10.8, 1.1, AttemptEnd::kAnswered, 10.9});
  EXPECT_TRUE(BrokenRules(keyed).empty());
  keyed.attempts[1].first_byte_s = keyed.attempts[1].begun_s = 11.2;  // past its window
  keyed.attempts[1].told_timeout_s = 0.7;
  ExpectBroken(Rule::kRunOnce, keyed);
}

TEST(SoakChecks, FindATimeoutThatIsToldTooLong) {
  HistoryData history = WholeHistory();
  history.attempts[0].told_timeout_s = 2.25;
  ExpectBroken(Rule::kToldTimeout, history);
}

TEST(SoakChecks, FindTooManyAttempts) {
  HistoryData beside = WholeHistory(RequestClass::kIdempotent);
  beside.attempts.push_back({"a", 4, 10.05, 10.05, 1.9, AttemptEnd::kAnswered, 10.2});
  ExpectBroken(Rule::kAttempts, beside);
  HistoryData many = WholeHistory(RequestClass::kIdempotent);
  many.attempts.clear();
  for (int i = 0; i < 5; ++i) {
    many.attempts.push_back({"a", i, 10.0 + i * 0.1, 10.0 + i * 0.1, 1, AttemptEnd::kError, 10.0 + i * 0.1});
  }
  ExpectBroken(Rule::kAttempts, many);
  HistoryData unknown = WholeHistory();
  unknown.attempts[0].request_id.assign(1, 'b');
  ExpectBroken(Rule::kAttempts, unknown);
}

TEST(SoakChecks, FindABadExitAStartThatFailsAndALeak) {
  HistoryData exit = WholeHistory();
  exit.exits[0].status = -15;
  ExpectBroken(Rule::kExit, exit);
  exit.exits[0].killed = true;
  EXPECT_TRUE(BrokenRules(exit).empty());
  HistoryData start = WholeHistory();
  start.starts[0].ready_s = -1;
  ExpectBroken(Rule::kReady, start);
  HistoryData leak = WholeHistory();
  leak.leaks.push_back({20, "gateway 0 holds 100 descriptors at rest"});
  ExpectBroken(Rule::kDescriptors, leak);
}

}  // namespace
}  // namespace gateway::lab::soak
