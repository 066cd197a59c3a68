#include "policy/admission_policy.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>

namespace gateway::policy {
namespace {

// A site of one plan and three classes; every test names what it changes.
Settings Site() {
  Settings s;
  s.gateway_count = 3;
  s.timer_resolution_s = 0.002;
  s.discovery_is_pushed = true;
  s.max_request_units = 4;
  s.counter_enabled = true;
  s.counter_timeout_s = 0.3;  // too long for a try to be held for: tests of that shorten it
  s.cancellation_enabled = true;
  s.retry_after_enabled = true;
  s.max_retry_after_s = 2;
  s.max_attempts = 5;
  s.slow_start_initial_fraction = 0.2;
  s.slow_start_duration_s = 16;
  s.overload_multiple = 2;
  s.discovery_poll_interval_s = 10;
  for (Idempotency effect :
       {Idempotency::kIdempotent, Idempotency::kIdempotencyKey, Idempotency::kNonIdempotent}) {
    ClassSettings c;
    c.latency_objective_s = 0.6;
    c.deadline_s = 1.5;
    c.deduplication_window_s = 1.2;
    c.priority_weight = 1;
    c.idempotency = effect;
    c.deduplication_scope =
        effect == Idempotency::kIdempotencyKey ? DeduplicationScope::kCell : DeduplicationScope::kAll;
    s.classes.push_back(c);
  }
  PlanSettings p;
  p.rate_units_per_s = 2;
  p.burst_units = 10;
  p.over_quota_penalty = 1;
  s.plans.push_back(p);
  return s;
}

class PolicyFixture {
 public:
  explicit PolicyFixture(const Settings& s, int backends = 4, double start = 100)
      : now(start), b(s, 7, start, &out) {
    std::vector<Endpoint> list;
    for (int i = 0; i < backends; ++i) {
      Endpoint e;
      e.id = 50 + static_cast<uint32_t>(i);
      e.cell = i / 2;
      e.weight = 1;
      list.push_back(e);
    }
    b.OnEndpointUpdate(now, EndpointUpdateKind::kCached, list, &out);
    out.clear();
  }

  uint32_t Ask(double units = 1, int cls = 0, double left = 1.0, uint64_t customer = 9, double entries = 1) {
    Request r;
    r.id = ++last;
    r.request_class = cls;
    r.tenant = customer;
    r.time_left_s = left;
    r.cost_units = units;
    r.ingress_gateways = entries;
    out.clear();
    b.OnRequest(now, r, &out);
    return r.id;
  }

  // The first action of this kind, or null.
  template <typename Kind>
  const Kind* Got() const {
    for (const Action& action : out) {
      if (const Kind* typed = std::get_if<Kind>(&action)) return typed;
    }
    return nullptr;
  }
  bool Sent() const { return Got<ForwardAttempt>() != nullptr; }

  void End(uint32_t id, uint32_t backend, CallResult result, int attempt = 0, double true_units = 0) {
    AttemptOutcome o;
    o.request_id = id;
    o.attempt = attempt;
    o.result = result;
    o.request_finished = result == CallResult::kOk;
    o.backend_id = backend;
    o.actual_cost_units = true_units;
    out.clear();
    b.OnAttemptOutcome(now, o, &out);
  }

  // Asks and answers at once; true if it was let in.
  bool Serve(double units = 1, uint64_t customer = 9, double entries = 1, double true_units = 0) {
    uint32_t id = Ask(units, 0, 1.0, customer, entries);
    const ForwardAttempt* send = Got<ForwardAttempt>();
    if (const CallCounter* count = Got<CallCounter>()) calls.push_back(*count);
    if (send == nullptr) return false;
    uint32_t backend = send->backend_id;
    End(id, backend, CallResult::kOk, 0, true_units);
    return true;
  }

  void Tell(uint64_t name, double total, CallResult result = CallResult::kOk) {
    out.clear();
    b.OnCounterReply(now, CounterReply{name, total, result}, &out);
  }

  double now;
  uint32_t last = 0;
  Actions out;
  std::vector<CallCounter> calls;
  AdmissionPolicy b;
};

TEST(Bucket, HoldsTheBurstAndRefillsAtTheRate) {
  Settings s = Site();
  s.counter_enabled = false;
  PolicyFixture t(s);
  t.now = 100;  // a window's start
  int got = 0;
  for (int i = 0; i < 30; ++i) got += t.Serve();
  EXPECT_EQ(got, 10);
  t.now = 102.001;  // two seconds at two units a second
  got = 0;
  for (int i = 0; i < 30; ++i) got += t.Serve();
  EXPECT_EQ(got, 4);
}

TEST(Bucket, RefusalNamesTheLongestStayAway) {
  Settings s = Site();
  PolicyFixture t(s);
  while (t.Serve()) {
  }
  ASSERT_NE(t.Got<RejectRequest>(), nullptr);
  EXPECT_EQ(t.Got<RejectRequest>()->retry_after_s, 2);
}

TEST(Share, SoftPlansAloneBorrow) {
  for (bool soft : {false, true}) {
    Settings s = Site();
    s.counter_enabled = false;
    s.plans[0].over_quota_penalty = soft ? 0 : 1;
    s.plans[0].excess_value_share = soft ? 0.3 : 0;
    PolicyFixture t(s);
    int got = 0;
    for (int i = 0; i < 100; ++i) {
      t.now = 100 + i * 0.02;
      for (uint64_t k = 0; k < 5; ++k) t.Serve(1, 100 + k + 5 * static_cast<uint64_t>(i));
      got += t.Serve();
    }
    if (soft) {
      EXPECT_GT(got, 40);
    } else {
      EXPECT_LE(got, 14);
    }
  }
}

TEST(Share, NothingIsLentAfterFull) {
  Settings s = Site();
  s.counter_enabled = false;
  s.plans[0].over_quota_penalty = 0;
  s.plans[0].excess_value_share = 0.3;
  PolicyFixture t(s);
  int got = 0;
  for (int i = 0; i < 100; ++i) {
    t.now = 100 + i * 0.02;
    for (uint64_t k = 0; k < 5; ++k) t.Serve(1, 100 + k + 5 * static_cast<uint64_t>(i));
    uint32_t id = t.Ask(1, 0, 1.0, 1000 + static_cast<uint64_t>(i));
    ASSERT_TRUE(t.Sent());
    bool full = i % 5 == 0;
    t.End(id, t.Got<ForwardAttempt>()->backend_id, full ? CallResult::kRejected : CallResult::kOk);
    ASSERT_EQ(t.Sent(), full);
    if (full) t.End(id, t.Got<ForwardAttempt>()->backend_id, CallResult::kOk, 1);
    got += t.Serve();
  }
  EXPECT_LE(got, 14);
}

TEST(Counter, FirstPassIsAPartAndReadsAtOnce) {
  PolicyFixture t(Site());
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_GE(got, 3);
  EXPECT_LE(got, 4);
  ASSERT_EQ(t.calls.size(), 1u);  // one call in flight a name
}

TEST(Counter, OthersSendsAreTakenFromTheBucket) {
  PolicyFixture t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.Tell(t.calls[0].key, 9 + t.calls[0].amount);
  EXPECT_FALSE(t.Serve(2, 9, 3));
}

TEST(Counter, StoreIsCarriedOverTheWindow) {
  PolicyFixture t(Site(), 4, 104.98);
  ASSERT_TRUE(t.Serve(1, 9, 3));
  uint64_t name = t.calls[0].key;
  t.now = 104.99;
  t.Tell(name, 19 + t.calls[0].amount);
  t.now = 105.01;  // the next window: the store is empty, not a burst again
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_LE(got, 1);
  ASSERT_GT(t.calls.size(), 0u);
  t.now = 130;
  t.Serve(1, 9, 3);
  ASSERT_GT(t.calls.size(), 1u);
  EXPECT_NE(t.calls.back().key, name);  // and a name of its own
}

TEST(Counter, AWindowAfterAnOverspentOneHoldsNoStore) {
  PolicyFixture t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.Tell(t.calls[0].key, 2);  // another gateway has sent one
  t.calls.clear();
  t.now = 102;
  ASSERT_TRUE(t.Serve(1, 9, 3));
  ASSERT_EQ(t.calls.size(), 1u);
  t.Tell(t.calls[0].key, 32);  // twenty were to be had in this window
  t.calls.clear();
  int got = 0;
  for (int i = 0; i < 8; ++i) {
    t.now = 105.1 + 0.6 * i;
    got += t.Serve(1, 9, 3);
    for (const CallCounter& a : t.calls) t.Tell(a.key, 12);  // and ten in the next, which others have passed
    t.calls.clear();
  }
  EXPECT_LE(got, 1);
}

TEST(Counter, BatchesGrowWithTheTokensLeft) {
  Settings s = Site();
  s.plans[0].rate_units_per_s = 200;
  s.plans[0].burst_units = 1000;
  PolicyFixture t(s);
  ASSERT_TRUE(t.Serve(1, 9, 2));
  t.Tell(t.calls[0].key, 2);  // another gateway has sent one
  t.calls.clear();
  for (int i = 0; i < 100; ++i) ASSERT_TRUE(t.Serve(1, 9, 2));
  EXPECT_TRUE(t.calls.empty());
  for (int i = 0; i < 30; ++i) ASSERT_TRUE(t.Serve(1, 9, 2));
  ASSERT_EQ(t.calls.size(), 1u);
  EXPECT_GT(t.calls[0].amount, 100);
}

TEST(Counter, ATimeOutIsNotAddedAgainBlindly) {
  PolicyFixture t(Site());
  ASSERT_TRUE(t.Serve(4));
  ASSERT_EQ(t.calls.back().amount, 4);
  t.Tell(t.calls.back().key, 0, CallResult::kTimeout);
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 1);
  t.Tell(t.calls.back().key, 1);  // it was lost, but might have been added
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 1);
}

TEST(Counter, ARefusedCallAddedNothing) {
  PolicyFixture t(Site());
  ASSERT_TRUE(t.Serve(4));
  t.Tell(t.calls.back().key, 0, CallResult::kRejected);
  t.now += 0.01;
  ASSERT_TRUE(t.Serve(1));
  EXPECT_EQ(t.calls.back().amount, 5);
}

TEST(Counter, ForgettingGivesNothingBack) {
  PolicyFixture t(Site());
  ASSERT_TRUE(t.Serve(1, 9, 3));
  t.Tell(t.calls.back().key, 8 + t.calls.back().amount);
  size_t before = t.calls.size();
  t.now = 101.5;
  ASSERT_TRUE(t.Serve(1, 9, 3));
  ASSERT_GT(t.calls.size(), before);
  t.Tell(t.calls.back().key, t.calls.back().amount);  // others' eight are gone
  int got = 0;
  for (int i = 0; i < 10; ++i) got += t.Serve(1, 9, 3);
  EXPECT_EQ(got, 0);
}

TEST(Counter, SilenceLeavesThisGatewaysPartAndFewCalls) {
  Settings s = Site();
  s.counter_timeout_s = 0.03;
  PolicyFixture t(s);
  int got = 0, calls = 0;
  for (int i = 0; i < 1000; ++i) {
    t.now = 100 + i * 0.05;
    uint32_t id = t.Ask(1, 0, 1.0, 9, 2);
    const ForwardAttempt* send = t.Got<ForwardAttempt>();
    uint32_t at = send != nullptr ? send->backend_id : 0;
    if (const CallCounter* count = t.Got<CallCounter>()) {
      ++calls;
      t.Tell(count->key, 0, CallResult::kTimeout);
      if (const ForwardAttempt* late = t.Got<ForwardAttempt>()) at = late->backend_id;
    }
    if (at != 0) t.End(id, at, CallResult::kOk);
    got += at != 0;
  }
  EXPECT_NEAR(got, 50 + 5, 7);  // half of two a second over 50 s, and a store
  EXPECT_LT(calls, 200);
}

TEST(Counter, InSilenceARiseKeepsToTheToldPart) {
  PolicyFixture t(Site());
  double total = 0;
  for (int i = 0; i < 40; ++i) {  // told: an equal part of little use
    t.now = 100 + i * 0.5;
    ASSERT_TRUE(t.Serve(0.25, 9, 2));
    for (CallCounter& a : t.calls) t.Tell(a.key, total += 2 * a.amount);
    t.calls.clear();
    if (std::fmod(t.now, 5) > 4.4) total = 0;
  }
  double got = 0, demand = 0;
  for (int i = 0; i < 1200; ++i) {  // then silence, and far more is asked
    t.now += 0.05;
    got += t.Serve(0.5, 9, 2) ? 0.5 : 0;
    demand += 0.5;
    for (CallCounter& a : t.calls) t.Tell(a.key, 0, CallResult::kRejected);
    t.calls.clear();
  }
  EXPECT_LT(got, 60 * 2 * 0.62 + 10);
  EXPECT_GT(got, 60 * 2 * 0.3);
  EXPECT_GT(demand, 500);
}

TEST(Counter, SettledUnitsMoveTheBucketAndTotalsOnlyRise) {
  PolicyFixture t(Site());
  ASSERT_TRUE(t.Serve(4, 9, 1, 1));
  t.Tell(t.calls.back().key, 4);
  int got = 0;
  for (int i = 0; i < 20; ++i) {
    got += t.Serve();
    for (const CallCounter& a : t.calls) EXPECT_GE(a.amount, 0);
  }
  EXPECT_EQ(got, 9);  // ten, less the one unit it really was
}

TEST(Ceiling, IsSplitAndStartsEmpty) {
  Settings s = Site();
  s.plans[0].rate_units_per_s = 1000;
  s.plans[0].burst_units = 1000;
  s.plans[0].ceiling_rate_units_per_s = 30;
  s.plans[0].ceiling_burst_units = 60;
  s.plans[0].ceiling_slack_units = 6;
  PolicyFixture t(s);
  EXPECT_FALSE(t.Serve(1, 9, 3));  // just started: what was spent before is not known
  t.now = 101.001;
  int got = 0;
  for (int i = 0; i < 200; ++i) got += t.Serve(1, 9, 3);
  EXPECT_EQ(got, 10);
  t.now = 200;
  got = 0;
  for (int i = 0; i < 200; ++i) {
    got += t.Serve(1, 9, 3);
    for (CallCounter& a : t.calls) t.Tell(a.key, 0);  // a counter that says nothing was used changes nothing
    t.calls.clear();
  }
  EXPECT_EQ(got, 21);  // a third of the store and of nearly all the slack
}

TEST(OpenCap, CountsOwnAttemptsOut) {
  Settings s = Site();
  s.plans[0].rate_units_per_s = s.plans[0].burst_units = 0;
  s.plans[0].max_concurrent_attempts = 2;
  PolicyFixture t(s);
  uint32_t first = t.Ask();
  ASSERT_TRUE(t.Sent());
  uint32_t at = t.Got<ForwardAttempt>()->backend_id;
  t.Ask();
  ASSERT_TRUE(t.Sent());
  t.Ask();
  EXPECT_FALSE(t.Sent());
  t.End(first, at, CallResult::kOk);
  t.Ask();
  EXPECT_TRUE(t.Sent());
}

TEST(OpenCap, OthersAreHeardThroughTheCounterAndFade) {
  Settings s = Site();
  s.plans[0].rate_units_per_s = s.plans[0].burst_units = 0;
  s.plans[0].max_concurrent_attempts = 2;
  PolicyFixture t(s);
  uint32_t id = t.Ask(1, 0, 1.0, 9, 2);
  const CallCounter* count = t.Got<CallCounter>();
  ASSERT_NE(count, nullptr);
  EXPECT_EQ(count->amount, 1);
  uint64_t name = count->key;
  uint32_t at = t.Got<ForwardAttempt>()->backend_id;
  t.Tell(name, 2);  // own one, and one of another gateway
  t.Ask(1, 0, 1.0, 9, 2);
  EXPECT_FALSE(t.Sent());
  t.End(id, at, CallResult::kOk);
  ASSERT_NE(t.Got<CallCounter>(), nullptr);
  EXPECT_EQ(t.Got<CallCounter>()->amount, -1);
  t.Tell(name, 2);
  t.Ask(1, 0, 1.0, 9, 2);
  EXPECT_FALSE(t.Sent());
  t.now += 3;  // what was heard so long ago is over
  t.Ask(1, 0, 1.0, 9, 2);
  EXPECT_TRUE(t.Sent());
}

TEST(Overload, TheLastRoomIsForWhatIsWorthMost) {
  Settings s = Site();
  s.classes[1].priority_weight = 10;
  PolicyFixture t(s, 2);
  int sent[2] = {0, 0};
  for (int i = 0; i < 40; ++i) {
    t.Ask(1, i % 2, 1.0, static_cast<uint64_t>(100 + i));
    sent[i % 2] += t.Sent();
  }
  EXPECT_GE(sent[1], sent[0] + 2);
  EXPECT_GT(sent[0], 0);
}

TEST(Overload, SlowAnswersCutWhatIsOutAndQuickOnesRestoreIt) {
  PolicyFixture t(Site(), 1);
  auto most = [&](uint64_t from) {
    std::vector<uint32_t> ids;
    for (uint64_t k = 0; k < 50; ++k) {
      uint32_t id = t.Ask(1, 0, 1.4, from + k);
      if (t.Sent()) ids.push_back(id);
    }
    return ids;
  };
  auto ids = most(1000);
  size_t first = ids.size();
  for (int round = 0; round < 6; ++round) {
    t.now += 0.55;
    for (uint32_t id : ids) t.End(id, 50, CallResult::kOk);
    ids = most(2000 + 100 * static_cast<uint64_t>(round));
  }
  EXPECT_LE(ids.size(), 1u);
  EXPECT_GT(first, 1u);
  for (int round = 0; round < 300; ++round) {
    t.now += 0.05;
    for (uint32_t id : ids) t.End(id, 50, CallResult::kOk);
    ids = most(10000 + 100 * static_cast<uint64_t>(round));
  }
  EXPECT_GT(ids.size(), first);
}

TEST(Effects, FreeIsSentAgainAfterAnError) {
  PolicyFixture t(Site());
  uint32_t id = t.Ask();
  uint32_t at = t.Got<ForwardAttempt>()->backend_id;
  t.End(id, at, CallResult::kError);
  ASSERT_TRUE(t.Sent());
  EXPECT_NE(t.Got<ForwardAttempt>()->backend_id, at);
}

TEST(Effects, GuardedStaysInItsCellAndWindowAndFails) {
  PolicyFixture t(Site());
  uint32_t id = t.Ask(1, 1, 1.45);
  uint32_t at = t.Got<ForwardAttempt>()->backend_id;
  t.End(id, at, CallResult::kError);
  ASSERT_TRUE(t.Sent());
  uint32_t next = t.Got<ForwardAttempt>()->backend_id;
  EXPECT_EQ((next - 50) / 2, (at - 50) / 2);
  t.now += 1.25;  // past the window
  t.End(id, next, CallResult::kError, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got<FailRequest>(), nullptr);
  EXPECT_EQ(t.Got<RejectRequest>(), nullptr);
}

// A connection may take its time to come up, and the window must still be open when the request leaves on it.
TEST(Effects, GuardedIsNotSentAgainWhereItsConnectionMayComeUpPastTheWindow) {
  Settings s = Site();
  s.connect_timeout_s = 0.3;
  for (double after : {0.8, 1.0}) {
    PolicyFixture t(s);
    uint32_t id = t.Ask(1, 1, 1.45);
    uint32_t at = t.Got<ForwardAttempt>()->backend_id;
    t.now += after;
    t.End(id, at, CallResult::kError);
    EXPECT_EQ(t.Sent(), after < 0.9) << "of a window of 1.2 s";
  }
}

TEST(Effects, SingleShotIsNeitherSentAgainNorRefusedOnceItMayHaveRun) {
  PolicyFixture t(Site());
  uint32_t id = t.Ask(1, 2);
  t.End(id, t.Got<ForwardAttempt>()->backend_id, CallResult::kRejected);
  ASSERT_TRUE(t.Sent());  // proved not to have run
  t.End(id, t.Got<ForwardAttempt>()->backend_id, CallResult::kReset, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got<FailRequest>(), nullptr);
}

TEST(Effects, TryLimitHolds) {
  Settings s = Site();
  s.max_attempts = 2;
  PolicyFixture t(s);
  uint32_t id = t.Ask();
  t.End(id, t.Got<ForwardAttempt>()->backend_id, CallResult::kRejected);
  ASSERT_TRUE(t.Sent());
  t.End(id, t.Got<ForwardAttempt>()->backend_id, CallResult::kRejected, 1);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got<RejectRequest>(), nullptr);
}

TEST(Backends, NothingGoesToADrainingOrGoneOne) {
  PolicyFixture t(Site(), 2);
  Endpoint e;
  e.id = 50;
  e.state = EndpointState::kDraining;
  t.b.OnEndpointUpdate(t.now, EndpointUpdateKind::kDelta, {e}, &t.out);
  for (int i = 0; i < 3; ++i) {
    t.Ask(1, 0, 1.0, static_cast<uint64_t>(20 + i));
    ASSERT_TRUE(t.Sent());
    EXPECT_EQ(t.Got<ForwardAttempt>()->backend_id, 51u);
  }
  e.id = 51;
  e.state = EndpointState::kRemoved;
  t.b.OnEndpointUpdate(t.now, EndpointUpdateKind::kDelta, {e}, &t.out);
  t.Ask(1, 0, 1.0, 40);
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got<RejectRequest>(), nullptr);
}

TEST(Backends, AColdOneGetsABudget) {
  PolicyFixture t(Site(), 1);
  Endpoint e;
  e.id = 50;
  e.started_s = 99.9;
  t.b.OnEndpointUpdate(t.now, EndpointUpdateKind::kDelta, {e}, &t.out);
  double work = 0;
  for (int i = 0; i < 500; ++i) {
    t.now = 100 + i * 0.002;
    work += t.Serve(1, static_cast<uint64_t>(100 + i)) ? 0.15 : 0;  // a quarter of the aim, until learned
  }
  EXPECT_GT(work, 0);
  EXPECT_LE(work, 2 * 0.27 * 1.0 / 3 + 0.15);  // a third of what one core may be sent in a second
}

// One attempt at a time, each answered after `took`; how many were let in over ten seconds.
int SteadyThroughput(PolicyFixture* t, double took) {
  int got = 0;
  double end = t->now + 10;
  while (t->now < end) {
    uint32_t id = t->Ask(1, 0, 1.4, 100000 + t->last);
    if (!t->Sent()) {
      t->now += 0.01;
      continue;
    }
    ++got;
    t->now += took;
    t->End(id, 50, CallResult::kOk);
  }
  return got;
}

TEST(Backends, ABusyFleetGivesAColdOneItsFractionOfTheWork) {
  PolicyFixture t(Site(), 4);
  std::vector<std::pair<uint32_t, uint32_t>> out;  // request and backend, answered 100 ms later
  int cold = 0, sent = 0;
  for (int i = 0; i < 600; ++i) {
    t.now = 100 + i * 0.01;  // each warm one does two to three and a third of these at a time
    if (i == 300) {
      Endpoint e;
      e.id = 50;
      e.started_s = t.now - 0.1;
      t.b.OnEndpointUpdate(t.now, EndpointUpdateKind::kDelta, {e}, &t.out);
    }
    if (i >= 10 && out.size() > static_cast<size_t>(i - 10) && out[i - 10].first != 0) {
      t.End(out[i - 10].first, out[i - 10].second, CallResult::kOk);
    }
    t.Ask(1, 0, 1.0, static_cast<uint64_t>(1000 + i));
    const ForwardAttempt* send = t.Got<ForwardAttempt>();
    out.push_back(send != nullptr ? std::make_pair(t.last, send->backend_id) : std::make_pair(0u, 0u));
    if (send == nullptr || i < 300) continue;
    ++sent;
    cold += send->backend_id == 50;
  }
  EXPECT_GT(sent, 200);
  EXPECT_GT(cold,
            300 * 0.01 * 0.8 / 3 * 0.3 / 0.1 + 4);  // more than the one-core bound gives in three seconds
  EXPECT_LT(cold, 300 / 4 * 0.4);                   // and no more than its fraction of an even part
}

TEST(Backends, ASlowOneWithoutAQueueKeepsOneAttempt) {
  PolicyFixture t(Site(), 1);
  EXPECT_GE(SteadyThroughput(&t, 0.2), 40);  // a third of the aim is its work, no queue
  PolicyFixture worse(Site(), 1);
  EXPECT_LE(SteadyThroughput(&worse, 0.9), 11);  // far past the aim: one at a time
}

TEST(Backends, OneThatTurnsSomeConnectionsAwayIsNotTakenForCold) {
  PolicyFixture t(Site(), 1);
  for (int i = 0; i < 4; ++i) {
    uint32_t id = t.Ask(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    ASSERT_TRUE(t.Sent());
    t.End(id, 50, i % 3 == 2 ? CallResult::kOk : CallResult::kConnectFailed);
    t.now += 0.6;
  }
  EXPECT_GE(SteadyThroughput(&t, 0.05), 150);
}

TEST(Backends, OneThatWasDeadIsMetAsCold) {
  PolicyFixture t(Site(), 1);
  for (int i = 0; i < 12; ++i) {
    uint32_t id = t.Ask(1, 0, 1.4, 100 + static_cast<uint64_t>(i));
    if (t.Sent()) t.End(id, 50, CallResult::kConnectFailed);
    t.now += 0.6;
  }
  EXPECT_LE(SteadyThroughput(&t, 0.05), 60);
}

TEST(Backends, MostOfTheFleetIsNeverSetAside) {
  PolicyFixture t(Site(), 8);
  int refused = 0;
  for (int i = 0; i < 60; ++i) {
    t.now += 0.002;
    uint32_t id = t.Ask(1, 2, 1.4, static_cast<uint64_t>(100 + i));
    const ForwardAttempt* send = t.Got<ForwardAttempt>();
    refused += send == nullptr;
    if (send != nullptr && send->backend_id < 54)
      t.End(id, send->backend_id, CallResult::kError);  // four of eight fail
  }
  EXPECT_EQ(refused, 0);  // the sound ones are full by then
}

TEST(Backends, OneThatFailsIsSetAside) {
  PolicyFixture t(Site(), 3);
  int bad = 0;
  for (int i = 0; i < 60; ++i) {
    t.now += 0.005;
    uint32_t id = t.Ask(1, 2, 1.0, static_cast<uint64_t>(100 + i));
    ASSERT_TRUE(t.Sent());
    uint32_t at = t.Got<ForwardAttempt>()->backend_id;
    bad += at == 50;
    t.End(id, at, at == 50 ? CallResult::kError : CallResult::kOk);
  }
  EXPECT_LE(bad, 4);
}

TEST(Attempts, TheLastAnswerComesBeforeTheClientGivesUp) {
  PolicyFixture t(Site());
  uint32_t id = t.Ask(1, 2, 0.2);
  const StartTimer* timer = t.Got<StartTimer>();
  ASSERT_NE(timer, nullptr);
  EXPECT_LT(timer->delay_s, 0.2);
  EXPECT_GT(timer->delay_s, 0.1);
  uint64_t tag = timer->tag;
  t.now += timer->delay_s;
  t.out.clear();
  t.b.OnTimer(t.now, tag, &t.out);
  ASSERT_NE(t.Got<FailRequest>(), nullptr);
  EXPECT_EQ(t.Got<FailRequest>()->request_id, id);
  t.out.clear();
  t.b.OnTimer(t.now, tag, &t.out);  // no longer wanted
  EXPECT_TRUE(t.out.empty());
}

TEST(Attempts, ASilentBackendIsLeft) {
  PolicyFixture t(Site());
  uint32_t id = t.Ask(1, 0, 1.4);
  uint32_t at = t.Got<ForwardAttempt>()->backend_id;
  uint64_t tag = t.Got<StartTimer>()->tag;
  t.now += t.Got<StartTimer>()->delay_s + 0.001;
  t.out.clear();
  t.b.OnTimer(t.now, tag, &t.out);
  ASSERT_NE(t.Got<CancelAttempt>(), nullptr);
  t.End(id, at, CallResult::kCancelled);
  ASSERT_TRUE(t.Sent());
  EXPECT_NE(t.Got<ForwardAttempt>()->backend_id, at);
}

// ---- many gateways ----

// A customer that comes in through a hundred gateways; tries may be held for the counter.
Settings Many() {
  Settings s = Site();
  s.gateway_count = 100;
  s.counter_timeout_s = 0.03;
  return s;
}

TEST(Held, ATryIsCountedFirstAndGoesOnTheAnswer) {
  PolicyFixture t(Many());
  t.Ask(2, 0, 1.0, 9, 100);
  EXPECT_FALSE(t.Sent());
  const CallCounter* count = t.Got<CallCounter>();
  ASSERT_NE(count, nullptr);
  EXPECT_EQ(count->amount, 2);
  t.now += 0.004;
  t.Tell(count->key, 4);  // others have sent two
  EXPECT_TRUE(t.Sent());
}

TEST(Held, OneBeyondTheQuotaIsRefusedAndTakenOffAgain) {
  PolicyFixture t(Many());
  t.Ask(2, 0, 1.0, 9, 100);
  const CallCounter* count = t.Got<CallCounter>();
  ASSERT_NE(count, nullptr);
  t.now += 0.004;
  t.Tell(count->key, 13);  // others have sent a whole burst
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got<RejectRequest>(), nullptr);
  ASSERT_NE(t.Got<CallCounter>(), nullptr);
  EXPECT_EQ(t.Got<CallCounter>()->amount, -2);
}

TEST(Held, EachGetsOneEndWhenTheCounterFails) {
  for (CallResult result : {CallResult::kTimeout, CallResult::kRejected, CallResult::kConnectFailed}) {
    PolicyFixture t(Many());
    t.Ask(2, 0, 1.0, 9, 100);
    const CallCounter* count = t.Got<CallCounter>();
    ASSERT_NE(count, nullptr);
    t.now += 0.03;
    t.Tell(count->key, 0, result);
    EXPECT_NE(t.Sent(), t.Got<RejectRequest>() != nullptr);
  }
}

TEST(Held, TheFirstOfAWindowTellsWhatTheOneBeforeOverspent) {
  Settings s = Many();
  PolicyFixture t(s, 4, 100.5);  // early in a window of 5 s
  t.Ask(2, 0, 1.0, 9, 100);
  const CallCounter* count = t.Got<CallCounter>();
  ASSERT_NE(count, nullptr);
  uint64_t name = count->key;
  t.now += 0.004;
  t.Tell(name, 2);  // the first
  EXPECT_FALSE(t.Sent());
  const CallCounter* before = t.Got<CallCounter>();
  ASSERT_NE(before, nullptr);
  EXPECT_NE(before->key, name);
  EXPECT_EQ(before->amount, 0);
  t.now += 0.004;
  t.Tell(before->key, 20);  // a burst and all that the rate gave were used there
  EXPECT_FALSE(t.Sent());
  EXPECT_NE(t.Got<RejectRequest>(), nullptr);
  ASSERT_NE(t.Got<CallCounter>(), nullptr);
  EXPECT_EQ(t.Got<CallCounter>()->key, name);
  EXPECT_EQ(t.Got<CallCounter>()->amount, 8);  // ten owed, two not sent
}

TEST(Held, OneLeftByItsClientIsNotSent) {
  PolicyFixture t(Many());
  uint32_t id = t.Ask(2, 0, 1.0, 9, 100);
  const CallCounter* count = t.Got<CallCounter>();
  ASSERT_NE(count, nullptr);
  uint64_t name = count->key;
  t.b.OnClientGone(t.now, id, &t.out);
  t.now += 0.004;
  t.Tell(name, 2);
  EXPECT_FALSE(t.Sent());
  EXPECT_EQ(t.Got<RejectRequest>(), nullptr);
}

TEST(Held, OneWithLittleTimeIsDecidedAtOnce) {
  PolicyFixture t(Many());
  t.Ask(2, 0, 0.1, 9, 100);
  EXPECT_NE(t.Sent(), t.Got<RejectRequest>() != nullptr);
}

TEST(Held, AtACapTheAnswerDecides) {
  Settings s = Many();
  s.plans[0].rate_units_per_s = s.plans[0].burst_units = 0;
  s.plans[0].max_concurrent_attempts = 2;
  for (double total : {2.0, 3.0}) {
    PolicyFixture t(s);
    t.Ask(1, 0, 1.0, 9, 100);
    EXPECT_FALSE(t.Sent());
    const CallCounter* count = t.Got<CallCounter>();
    ASSERT_NE(count, nullptr);
    t.now += 0.004;
    t.Tell(count->key, total);
    EXPECT_EQ(t.Sent(), total <= 2);
  }
}

TEST(Held, ACrowdedCounterIsCalledLess) {
  int calls[2] = {0, 0};
  for (bool crowded : {false, true}) {
    PolicyFixture t(Many());
    for (int i = 0; i < 400; ++i) {
      t.now += 0.25;
      uint32_t id = t.Ask(1, 0, 1.0, 1000 + static_cast<uint64_t>(i), 100);
      if (const CallCounter* count = t.Got<CallCounter>(); count != nullptr && !t.Sent()) {
        ++calls[crowded];
        uint64_t name = count->key;
        t.now += crowded ? 0.05 : 0.004;
        t.Tell(name, i % 2 == 0 ? 1 : 40);  // every other one is beyond its quota
      }
      if (const ForwardAttempt* send = t.Got<ForwardAttempt>()) t.End(id, send->backend_id, CallResult::kOk);
    }
  }
  EXPECT_GT(calls[0], 300);
  EXPECT_LT(calls[1], 200);
}

// A hundred gateways' calls queue now and then however few each makes. One slow answer in ten is the most
// that the counter bears being used, not a reason to stop asking.
TEST(Held, AFewSlowAnswersDoNotEndTheAsking) {
  Settings s = Many();
  s.plans[0].over_quota_penalty =
      0.3;  // little to be lost by a try beyond the quota: dear calls are not made
  PolicyFixture t(s);
  int calls = 0;
  for (int i = 0; i < 400; ++i) {
    t.now += 0.25;
    uint32_t id = t.Ask(1, 0, 1.0, 1000 + static_cast<uint64_t>(i), 100);
    if (const CallCounter* count = t.Got<CallCounter>(); count != nullptr && !t.Sent()) {
      uint64_t name = count->key;
      t.now += ++calls % 10 == 0 ? 0.05 : 0.04;
      t.Tell(name, i % 4 == 0 ? 40 : 1);  // every fourth is beyond its quota
    }
    if (const ForwardAttempt* send = t.Got<ForwardAttempt>()) t.End(id, send->backend_id, CallResult::kOk);
  }
  EXPECT_GT(calls, 380);
}

// Before its first read a gateway passes its part of the burst, which is one request. The next one is not
// refused unasked for a price that is far below what the refusal would lose.
TEST(Held, OneThatWouldBeRefusedUntoldIsAsked) {
  Settings s = Many();
  s.plans[0].rate_units_per_s = 20;
  s.plans[0].burst_units = 100;
  PolicyFixture t(s);
  auto ask = [&](uint64_t customer) {
    uint32_t id = t.Ask(1, 0, 1.0, customer, 100);
    if (const ForwardAttempt* send = t.Got<ForwardAttempt>()) t.End(id, send->backend_id, CallResult::kOk);
    return t.Got<RejectRequest>() == nullptr;
  };
  int late = 0;
  for (uint64_t i = 0; i < 100 && late < 10; ++i) {  // late answers make calls dear
    t.Ask(1, 0, 1.0, 100 + i, 100);
    const CallCounter* count = t.Got<CallCounter>();
    t.now += 0.06;
    if (count == nullptr) continue;
    t.Tell(uint64_t{count->key}, 1);
    ++late;
  }
  ASSERT_EQ(late, 10);
  int refused = 0;
  for (uint64_t i = 0; i < 40; ++i) {
    t.now += 0.3;
    ask(1000 + i);
    refused += !ask(1000 + i);
  }
  EXPECT_EQ(refused, 0);
}

TEST(Many, AFreshBackendIsNotSentOneRequestByEachGateway) {
  Settings s = Site();
  s.gateway_count = 300;
  s.counter_enabled = false;
  int sent = 0;
  for (uint64_t g = 0; g < 300; ++g) {
    Actions out;
    AdmissionPolicy b(s, 1000 + g, 100, &out);
    Endpoint e;
    e.id = 5;
    e.started_s = 99.9;
    b.OnEndpointUpdate(100, EndpointUpdateKind::kCached, {e}, &out);
    Request r;
    r.id = 1;
    r.time_left_s = 1;
    r.cost_units = 1;
    out.clear();
    b.OnRequest(100.1, r, &out);
    sent += std::count_if(out.begin(), out.end(),
                          [](const Action& a) { return std::holds_alternative<ForwardAttempt>(a); });
  }
  EXPECT_LT(sent, 10);
}

// Each of a hundred gateways may send a cold backend one request in seconds. What it may be sent it is sent,
// or the warm ones are left with the whole load and the cold ones stay cold.
TEST(Many, FreshBackendsAreSentTheirFraction) {
  Settings s = Site();
  s.gateway_count = 100;
  s.counter_enabled = false;
  int cold = 0;
  constexpr int kWarm = 10, kCold = 10;
  for (uint64_t g = 0; g < 100; ++g) {
    Actions out;
    double now = 100;
    AdmissionPolicy b(s, 1000 + g, now, &out);
    std::vector<Endpoint> list;
    for (uint32_t i = 0; i < kWarm; ++i) list.push_back({.id = i});
    b.OnEndpointUpdate(now, EndpointUpdateKind::kFull, list, &out);
    for (uint32_t i = 1; i <= 70;
         ++i) {  // a request each 0.2 s, answered in 0.1 s: 50 a second for a warm one
      now += 0.1;
      if (i == 50) {
        std::vector<Endpoint> fresh;
        for (uint32_t k = 0; k < kCold; ++k) fresh.push_back({.id = 100 + k, .started_s = now - 0.1});
        b.OnEndpointUpdate(now, EndpointUpdateKind::kDelta, fresh, &out);
      }
      Request r;
      r.id = i;
      r.tenant = g * 1000 + i;
      r.time_left_s = 1.5;
      r.cost_units = 1;
      out.clear();
      b.OnRequest(now, r, &out);
      now += 0.1;
      for (const Action& a : Actions(out)) {
        const auto* forward = std::get_if<ForwardAttempt>(&a);
        if (forward == nullptr) continue;
        if (forward->backend_id >= 100) ++cold;
        AttemptOutcome o;
        o.request_id = i;
        o.request_finished = true;
        o.backend_id = forward->backend_id;
        b.OnAttemptOutcome(now, o, &out);
      }
    }
  }
  // In 4 s from a fifth of a warm one's 50 a second to two fifths: all may get 600, four fifths of it are
  // ours.
  EXPECT_GT(cold, 300);
  EXPECT_LT(cold, 600);
}

TEST(Many, SlowAnswersOfAllBackendsTogetherLowerWhatIsLetIn) {
  Settings s = Site();
  s.counter_enabled = false;
  int let_in[2] = {0, 0};
  for (bool slow : {false, true}) {
    PolicyFixture t(s, 100);
    for (int i = 0; i < 200; ++i) {  // one at a time, seldom the same backend twice
      uint32_t id = t.Ask(1, 0, 1.4, 1000 + static_cast<uint64_t>(i));
      const ForwardAttempt* send = t.Got<ForwardAttempt>();
      uint32_t at = send != nullptr ? send->backend_id : 0;
      t.now += slow ? 0.5 : 0.05;
      if (at != 0) t.End(id, at, CallResult::kOk);
      let_in[slow] += at != 0;
    }
  }
  EXPECT_EQ(let_in[0], 200);
  EXPECT_LT(let_in[1], 130);
}

// What is let in was low when the answers ended, and all that comes has little time left. Without an attempt
// nothing would ever tell that the fleet has room, so after an aim without one the next is let in.
TEST(Many, OneIsLetInAfterAnAimWithoutAnAttempt) {
  Settings s = Site();
  s.counter_enabled = false;
  PolicyFixture t(s, 100);
  auto ask = [&](int i) { return t.Ask(1, 2, 0.8, 1000 + static_cast<uint64_t>(i)); };  // sent once at most
  uint32_t first = t.Ask(1, 2, 1.4);  // so that 0.8 s left are few
  t.End(first, t.Got<ForwardAttempt>()->backend_id, CallResult::kOk);
  for (int i = 0; i < 400; ++i) {
    uint32_t id = ask(i);
    const ForwardAttempt* send = t.Got<ForwardAttempt>();
    uint32_t at = send != nullptr ? send->backend_id : 0;
    t.now += at != 0 ? 0.59 : 0.02;
    if (at != 0) t.End(id, at, CallResult::kOk);
  }
  int sent = 0;
  for (int i = 0; i < 16; ++i) {  // 4 s
    t.now += 0.25;
    uint32_t id = ask(1000 + i);
    const ForwardAttempt* send = t.Got<ForwardAttempt>();
    if (send == nullptr) continue;
    ++sent;
    t.End(id, send->backend_id, CallResult::kError);
  }
  EXPECT_GE(sent, 3);
}

TEST(Input, NoSenseFromTheCounterOrTheListHarmsNothing) {
  Settings s = Many();
  s.gateway_count = 3;
  PolicyFixture t(s);
  uint64_t customer = 9;  // each time another one: a call of the one before may still be out
  for (double total :
       {-5.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
    t.Tell(12345, total);                // a name nobody asked for
    t.Ask(1, 0, 1.0, customer++, 1000);  // more entries than gateways
    const CallCounter* count = t.Got<CallCounter>();
    ASSERT_NE(count, nullptr);
    t.now += 6;
    t.Tell(count->key, total);
    t.now += 0.001;
  }
  t.b.OnEndpointUpdate(t.now, EndpointUpdateKind::kFull, {}, &t.out);
  t.Ask(1, 0, 1.0, 77, 1);
  EXPECT_NE(t.Got<RejectRequest>(), nullptr);
  Endpoint e;
  e.id = 50;
  t.b.OnEndpointUpdate(t.now, EndpointUpdateKind::kFull, {e}, &t.out);
  EXPECT_TRUE(t.Serve(1, 78, 1));
}

TEST(Input, WhatMakesNoSenseIsRefused) {
  PolicyFixture t(Site());
  const double nan = std::numeric_limits<double>::quiet_NaN(), inf = std::numeric_limits<double>::infinity();
  for (double units : {0.0, -1.0, nan, inf}) {
    t.Ask(units);
    EXPECT_NE(t.Got<RejectRequest>(), nullptr);
  }
  for (double left : {0.0, -1.0, nan}) {
    t.Ask(1, 0, left);
    EXPECT_NE(t.Got<RejectRequest>(), nullptr);
  }
  t.Ask(1, 9);
  EXPECT_NE(t.Got<RejectRequest>(), nullptr);
  PolicyFixture none(Site(), 0);
  none.Ask();
  EXPECT_NE(none.Got<RejectRequest>(), nullptr);
}

TEST(Input, UnknownIdsArePassedOver) {
  PolicyFixture t(Site());
  t.End(4711, 50, CallResult::kOk);
  t.b.OnClientGone(t.now, 4711, &t.out);
  t.b.OnTimer(t.now, 4711, &t.out);
  t.b.OnResponseStarted(t.now, 4711, &t.out);
  t.Tell(4711, 3);
  EXPECT_TRUE(t.out.empty());
}

}  // namespace
}  // namespace gateway::policy
