// Tests each rule of the soak with a history that violates it. A check that never failed would go unnoticed
// in the soak itself, which expects no violations.
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

// Returns a history of one request, which was answered by its only attempt.
HistoryData ValidHistory(RequestClass request_class = RequestClass::kNonIdempotent) {
  HistoryData history;
  RequestRecord request;
  request.id = "a";
  request.request_class = request_class;
  request.sent_s = 10;
  request.timeout_s = 2;
  request.outcome = RequestOutcome::kAnswered;
  request.ended_s = 10.2;
  request.status = 200;
  history.requests.push_back(request);
  history.attempts.push_back({"a", 3, 10.01, 10.01, 1.9, AttemptOutcome::kAnswered, 10.2});
  history.starts.push_back({0, 0, 0.1});
  history.exits.push_back({0, 20, false, 0});
  return history;
}

std::vector<Rule> ViolatedRules(const HistoryData& history) {
  std::vector<Rule> rules;
  for (const Violation& violation : CheckHistory(MakeDeployment(), history)) rules.push_back(violation.rule);
  return rules;
}

void ExpectViolation(Rule rule, const HistoryData& history) {
  EXPECT_EQ(ViolatedRules(history), std::vector<Rule>{rule}) << Name(rule);
}

TEST(SoakChecks, FindNothingInAValidHistory) { EXPECT_TRUE(ViolatedRules(ValidHistory()).empty()); }

TEST(SoakChecks, FindAnAnswerThatIsLateOrNeverComes) {
  HistoryData late = ValidHistory();
  late.requests[0].ended_s = 12.6;
  ExpectViolation(Rule::kAnswerInTime, late);
  late.pauses.push_back({0, 11, 11.2});  // a pause of the gateway's process extends the limit
  EXPECT_TRUE(ViolatedRules(late).empty());
  HistoryData never = ValidHistory();
  never.requests[0].outcome = RequestOutcome::kNoAnswer;
  ExpectViolation(Rule::kAnswerInTime, never);
}

TEST(SoakChecks, FindAConnectionClosedBeforeTheResponse) {
  HistoryData read = ValidHistory();
  read.attempts.clear();
  read.requests[0].outcome = RequestOutcome::kClosedRead;
  ExpectViolation(Rule::kReadIsAnswered, read);
  HistoryData forwarded = ValidHistory();
  forwarded.requests[0].outcome = RequestOutcome::kClosedUnread;
  ExpectViolation(Rule::kForwardedIsAnswered, forwarded);
  HistoryData twice = ValidHistory();
  twice.attempts.clear();
  twice.requests[0].outcome = RequestOutcome::kClosedUnread;
  EXPECT_TRUE(ViolatedRules(twice).empty());
  twice.requests[0].is_resend = true;
  ExpectViolation(Rule::kClosedUnreadOnce, twice);
}

TEST(SoakChecks, FindAnAttemptAfterItsClientHasLeft) {
  HistoryData history = ValidHistory();
  history.requests[0].outcome = RequestOutcome::kClientLeft;
  history.requests[0].ended_s = 10.005;
  EXPECT_TRUE(ViolatedRules(history).empty());
  history.attempts[0].first_byte_s = history.attempts[0].received_s = 10.2;
  history.attempts[0].forwarded_timeout_s = 1.8;
  ExpectViolation(Rule::kClientLeft, history);
}

TEST(SoakChecks, FindAnAttemptAfterTheDrainGrace) {
  HistoryData history = ValidHistory();
  history.notices.push_back({3, 9.4, 100});
  ExpectViolation(Rule::kDrain, history);
  history.notices[0].until_s = 10;  // listed as ready again
  EXPECT_TRUE(ViolatedRules(history).empty());
  history.notices[0] = {3, 9.6, 100};  // within the grace
  EXPECT_TRUE(ViolatedRules(history).empty());
  // A process counts as notified from its start or, if the agent is silent then, from the end of the silence.
  history.notices[0] = {3, 5, 100};
  history.starts.push_back({0, 9.4, 0.1});
  ExpectViolation(Rule::kDrain, history);
  history.silences.push_back({9, 9.8});
  EXPECT_TRUE(ViolatedRules(history).empty());
}

TEST(SoakChecks, FindASecondExecutionOfWhatMustRunOnce) {
  HistoryData history = ValidHistory();
  history.attempts.push_back({"a", 4, 10.5, 10.5, 1.4, AttemptOutcome::kAnswered, 10.6});
  history.attempts[0].outcome = AttemptOutcome::kReset;
  ExpectViolation(Rule::kRunOnce, history);
  history.attempts[0].outcome = AttemptOutcome::kNotStarted;
  EXPECT_TRUE(ViolatedRules(history).empty());
  HistoryData keyed = ValidHistory(RequestClass::kIdempotencyKey);
  keyed.attempts[0].outcome = AttemptOutcome::kReset;
  keyed.attempts.push_back({"a", 4, 10.8, 10.8, 1.1, AttemptOutcome::kAnswered, 10.9});
  EXPECT_TRUE(ViolatedRules(keyed).empty());
  keyed.attempts[1].first_byte_s = keyed.attempts[1].received_s = 11.2;  // after the deduplication window
  keyed.attempts[1].forwarded_timeout_s = 0.7;
  ExpectViolation(Rule::kRunOnce, keyed);
}

TEST(SoakChecks, FindAForwardedTimeoutThatIsTooLong) {
  HistoryData history = ValidHistory();
  history.attempts[0].forwarded_timeout_s = 2.25;
  ExpectViolation(Rule::kForwardedTimeout, history);
}

TEST(SoakChecks, FindTooManyAttempts) {
  HistoryData concurrent = ValidHistory(RequestClass::kIdempotent);
  concurrent.attempts.push_back({"a", 4, 10.05, 10.05, 1.9, AttemptOutcome::kAnswered, 10.2});
  ExpectViolation(Rule::kAttempts, concurrent);
  HistoryData many = ValidHistory(RequestClass::kIdempotent);
  many.attempts.clear();
  for (int i = 0; i < 5; ++i) {
    many.attempts.push_back(
        {"a", i, 10.0 + i * 0.1, 10.0 + i * 0.1, 1, AttemptOutcome::kError, 10.0 + i * 0.1});
  }
  ExpectViolation(Rule::kAttempts, many);
  HistoryData unknown = ValidHistory();
  unknown.attempts[0].request_id.assign(1, 'b');
  ExpectViolation(Rule::kAttempts, unknown);
}

TEST(SoakChecks, FindABadExitAStartThatFailsAndALeak) {
  HistoryData exit = ValidHistory();
  exit.exits[0].status = -15;
  ExpectViolation(Rule::kExit, exit);
  exit.exits[0].killed = true;
  EXPECT_TRUE(ViolatedRules(exit).empty());
  HistoryData start = ValidHistory();
  start.starts[0].ready_s = -1;
  ExpectViolation(Rule::kReady, start);
  HistoryData leak = ValidHistory();
  leak.leaks.push_back({20, "gateway 0 holds 100 descriptors while idle"});
  ExpectViolation(Rule::kDescriptors, leak);
}

}  // namespace
}  // namespace gateway::lab::soak
