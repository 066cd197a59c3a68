#include "lab/fleet.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

#include "lab/backend.h"
#include "lab/event_queue.h"
#include "lab/processor_clock.h"
#include "lab/random.h"

namespace gateway::lab {
namespace {

using policy::Action;
using policy::CallResult;

constexpr double kStartS = 1000;               // the clock's begin
constexpr double kAimS = 1.2, kDeadlineS = 4;  // of every class
constexpr double kCountTimeoutS = 0.03;
// The real gateway waits longer for a call than the settings' time-out, since a late answer is of use.
constexpr double kCountPatienceS = 3 * kCountTimeoutS;
constexpr double kEntryBytes = 157;  // of one backend in discovery's list, as measured by `control`
constexpr std::array kPlanPrices = {1.3, 1.8};  // value of a unit, by plan
constexpr int kRetries = 2;                     // of a client, after its first try

struct Tenant {
  int plan = 0, first = 0, spread = 1;
  double rate = 0;                   // tries a second
  double store = 0, stored_at = 0;   // the quota as it truly is
  double offer = 0, offered_at = 0;  // the same, had all first tries been let in that it has room for
};

struct Try {
  int tenant = 0, cls = 0, retry = 0;
  double units = 1, work_s = 0, arrived = 0, began = 0, patience_s = 0;
  bool sent = false, answered = false, inside = false;
  struct Attempt {
    int backend = 0;
    bool out = false;
  };
  std::vector<Attempt> attempts;
};

class Fleet {
 public:
  explicit Fleet(const FleetSpec& spec)
      : spec_(spec), random_(spec.seed), queue_(kStartS), counter_(spec.counter) {
    MakeTenants();
    MakeBackends();
    MakeGateways();
  }

  FleetCount Run() {
    double quiet = spec_.quiet_s;
    NextArrival();
    if (spec_.counter_silent_at_s >= 0) {
      queue_.Schedule(kStartS + quiet + spec_.counter_silent_at_s, [this] { counter_.set_silent(true); });
      queue_.Schedule(kStartS + quiet + spec_.counter_silent_at_s + spec_.counter_silent_s,
                      [this] { counter_.set_silent(false); });
    }
    queue_.RunUntil(End());
    queue_.RunUntil(End() + kDeadlineS);
    Conclude();
    return std::move(count_);
  }

 private:
  struct Gateway {
    int number = 0;
    std::unique_ptr<policy::AdmissionPolicy> balancer;
    std::unordered_map<uint32_t, Try> tries;
    std::unordered_map<int, std::vector<double>> idle;  // since when, by backend
    std::unordered_map<int, double> told_start;         // by backend, when it was told of its last start
    uint32_t last = 0;
  };
  struct Sent {
    double at, work;  // in requests of mean work
    bool told;
  };

  double End() const { return kStartS + spec_.quiet_s + spec_.seconds; }
  bool Measured() const { return queue_.now_s() >= kStartS + spec_.quiet_s; }
  double Load() const { return Measured() ? 1 : 0.1; }

  const policy::PlanSettings& Plan(const Tenant& t) const {
    return settings_.plans[static_cast<size_t>(t.plan)];
  }
  static double Price(const Tenant& t) { return kPlanPrices[static_cast<size_t>(t.plan)]; }
  double ClassWork(int cls) const {
    return spec_.classes < 2 ? spec_.work_s
                             : spec_.work_s * (0.5 + static_cast<double>(cls) / (spec_.classes - 1));
  }
  double MeanUnits() const { return (1 + spec_.most_units) / 2; }

  void MakeTenants() {
    settings_ = FleetSettings(spec_);
    double total = 0, inside = 0;
    for (int i = 0; i < spec_.tenants; ++i) {
      Tenant t;
      t.plan = random_.Uniform() < 0.87 ? 0 : 1;  // so that each makes about half of the use
      double share = random_.Between(spec_.spread_low, spec_.spread_high);
      t.spread = std::clamp(static_cast<int>(std::lround(share * spec_.gateways)),
                            std::min(2, spec_.gateways), spec_.gateways);
      t.first = random_.Below(spec_.gateways);
      double kind = random_.Uniform();
      double use = kind < 0.09   ? random_.Between(1.6, 4.6)   // asks far more for long
                   : kind < 0.25 ? random_.Between(0.8, 0.98)  // uses nearly all
                                 : random_.Between(0.15, 0.5);
      const auto& plan = Plan(t);
      t.rate = use * plan.rate_units_per_s / MeanUnits();
      t.store = plan.burst_units;
      t.stored_at = kStartS;
      total += t.rate;
      inside += std::min(1.0, use) * plan.rate_units_per_s / MeanUnits();
      tenants_.push_back(t);
    }
    double scale = spec_.requests_per_s / std::max(1e-9, total);
    // The plans' figures are scaled to the load, as the settings of a real site state them.
    for (auto& plan : settings_.plans) {
      if (!spec_.quotas) break;
      plan.rate_units_per_s *= scale;
      plan.burst_units = std::max(plan.burst_units * scale, 2 * spec_.most_units);
    }
    double sum = 0;
    for (Tenant& t : tenants_) {
      t.rate *= scale;
      t.store = t.offer = Plan(t).burst_units;
      t.offered_at = kStartS;
      cumulative_.push_back(sum += t.rate);
    }
    inside_per_s_ = inside * scale;
  }

  void MakeBackends() {
    // Work is scaled so that use inside the quotas comes to its share of what the backends can do.
    double capacity = static_cast<double>(spec_.backends) * spec_.cores;
    work_scale_ = spec_.inside_share > 0 && spec_.quotas
                      ? spec_.inside_share * capacity / std::max(1e-9, inside_per_s_ * spec_.work_s)
                  : spec_.inside_share > 0
                      ? spec_.inside_share * capacity / std::max(1e-9, spec_.requests_per_s * spec_.work_s)
                      : 1;
    for (int i = 0; i < spec_.backends; ++i) {
      backends_.push_back(NewBackend(0));
      entries_.push_back(Entry(i, 0));
    }
  }
  HollowBackend NewBackend(double started) const {
    BackendSpec b;
    b.cores = spec_.cores;
    b.cold_from = spec_.cold_from;
    b.warm_after_s = spec_.warm_after_s;
    return HollowBackend(b, started);
  }
  policy::Endpoint Entry(int i, double started) const {
    policy::Endpoint entry;
    entry.id = static_cast<uint32_t>(i) + 1;
    entry.zone = i % spec_.zones;
    entry.cell = i / 8;
    entry.weight = 1;
    entry.started_s = started;
    return entry;
  }

  void MakeGateways() {
    policy::Actions none;  // where lists are pushed a module asks for nothing at its start
    gateways_.resize(static_cast<size_t>(spec_.gateways));
    for (int g = 0; g < spec_.gateways; ++g) {
      Gateway& gateway = gateways_[static_cast<size_t>(g)];
      gateway.number = g;
      policy::Settings settings = settings_;
      settings.zone = g % spec_.zones;
      gateway.balancer = std::make_unique<policy::AdmissionPolicy>(
          settings, SplitMix64(spec_.seed * 7919 + static_cast<uint64_t>(g)), kStartS, &none);
      Tell(gateway, [&](auto& b, double now, auto* out) {
        b.OnEndpointUpdate(now, policy::EndpointUpdateKind::kFull, entries_, out);
      });
      count_.list_bytes += kEntryBytes * static_cast<double>(entries_.size());
    }
    int replaced = static_cast<int>(std::lround(spec_.replaced_share * spec_.backends));
    for (int i = 0; i < replaced; ++i) {
      for (int k = 0; k < spec_.restarts; ++k) {
        double at = kStartS + spec_.quiet_s + spec_.replaced_at_s +
                    spec_.replaced_within_s * (random_.Uniform() + k) / spec_.restarts;
        queue_.Schedule(at, [this, i] { Restart(i); });
      }
    }
  }

  // Starts cold under its own name. Connections to it are gone, and gateways learn of it with discovery's
  // lag.
  void Restart(int backend) {
    double now = queue_.now_s();
    CheckWindows(backend);
    backends_[static_cast<size_t>(backend)] = NewBackend(now);
    sent_[backend].clear();
    for (Gateway& gateway : gateways_) {
      gateway.idle.erase(backend);
      bool late = random_.Uniform() < spec_.late_share;
      double at = now + spec_.lag_s * random_.Uniform() + (late ? spec_.late_s : 0);
      queue_.Schedule(at, [this, &gateway, backend, now] {
        gateway.told_start[backend] = now;
        count_.list_bytes += kEntryBytes;
        Tell(gateway, [&](auto& b, double at_s, auto* out) {
          b.OnEndpointUpdate(at_s, policy::EndpointUpdateKind::kDelta, {Entry(backend, now)}, out);
        });
      });
    }
  }

  void NextArrival() {
    double gap = random_.Exponential(1 / (spec_.requests_per_s * Load()));
    if (queue_.now_s() + gap >= End()) return;
    queue_.Schedule(queue_.now_s() + gap, [this] {
      Arrive();
      NextArrival();
    });
  }

  void Arrive() {
    double at = random_.Uniform() * cumulative_.back();
    int tenant =
        static_cast<int>(std::lower_bound(cumulative_.begin(), cumulative_.end(), at) - cumulative_.begin());
    Try t;
    t.tenant = std::min(tenant, spec_.tenants - 1);
    t.cls = random_.Below(spec_.classes);
    t.units = 1 + std::floor(random_.Uniform() * spec_.most_units);
    // Worth and work both grow with the units, as in a site whose units are the request's size.
    t.work_s = ClassWork(t.cls) * work_scale_ * t.units / MeanUnits() * random_.Between(0.7, 1.3);
    t.began = queue_.now_s();
    t.patience_s = kDeadlineS * random_.Between(0.5, 1);
    Tenant& of = tenants_[static_cast<size_t>(t.tenant)];
    const auto& plan = Plan(of);
    of.offer =
        std::min(plan.burst_units, of.offer + plan.rate_units_per_s * (queue_.now_s() - of.offered_at));
    of.offered_at = queue_.now_s();
    bool offered = of.offer >= t.units;
    if (offered) of.offer -= t.units;
    if (Measured()) {
      ++count_.first_tries;
      if (offered) {
        count_.worth_offered += t.units * Price(of);
      }
    }
    Enter(std::move(t));
  }

  // Whether the quota, as it truly is, has room for so many units now.
  double Store(Tenant& t) {
    const auto& plan = Plan(t);
    t.store = std::min(plan.burst_units, t.store + plan.rate_units_per_s * (queue_.now_s() - t.stored_at));
    t.stored_at = queue_.now_s();
    return t.store;
  }
  bool Inside(Tenant& t, double units) { return !spec_.quotas || Store(t) >= units; }

  Gateway& Entrance(int tenant) {
    const Tenant& t = tenants_[static_cast<size_t>(tenant)];
    // The busiest change from time to time: the order is turned by a draw of the tenant and the period.
    uint64_t period = static_cast<uint64_t>(queue_.now_s() / spec_.shift_s);
    int turn = static_cast<int>(SplitMix64(static_cast<uint64_t>(tenant) * 1000003 + period) %
                                static_cast<uint64_t>(t.spread));
    int rank =
        std::min(t.spread - 1, static_cast<int>(t.spread * std::pow(random_.Uniform(), 1 + spec_.skew)));
    return gateways_[static_cast<size_t>((t.first + (rank + turn) % t.spread) % spec_.gateways)];
  }

  void Enter(Try t) {
    const Tenant& tenant = tenants_[static_cast<size_t>(t.tenant)];
    Gateway& gateway = Entrance(t.tenant);
    t.arrived = queue_.now_s();
    if (Measured()) ++count_.tries;
    policy::Request request;
    request.id = ++gateway.last;
    request.request_class = t.cls;
    request.plan = tenant.plan;
    request.tenant = static_cast<uint64_t>(t.tenant) + 1;
    request.time_left_s = t.patience_s - (t.arrived - t.began);
    request.cost_units = t.units;
    request.ingress_gateways = tenant.spread;
    gateway.tries[request.id] = std::move(t);
    Tell(gateway, [&](auto& b, double now, auto* out) { b.OnRequest(now, request, out); });
    auto it = gateway.tries.find(request.id);
    if (it != gateway.tries.end() && !it->second.answered && !it->second.sent && Measured()) ++count_.held;
  }

  template <typename Call>
  void Tell(Gateway& gateway, Call call) {
    policy::Actions actions;
    double begun = ThreadProcessorSeconds();
    call(*gateway.balancer, queue_.now_s(), &actions);
    decision_s_ += ThreadProcessorSeconds() - begun;
    for (const Action& action : actions) Act(gateway, action);
  }

  void Act(Gateway& gateway, const Action& action) {
    std::visit([&](const auto& typed) { Act(gateway, typed); }, action);
  }
  void Act(Gateway& gateway, const policy::ForwardAttempt& action) { Send(gateway, action); }
  void Act(Gateway&, const policy::CancelAttempt&) {}  // work that has begun runs on
  void Act(Gateway& gateway, const policy::RejectRequest& action) {
    Answer(gateway, action.request_id, true, action.retry_after_s);
  }
  void Act(Gateway& gateway, const policy::FailRequest& action) {
    Answer(gateway, action.request_id, false, 0);
  }
  void Act(Gateway& gateway, const policy::StartTimer& action) {
    queue_.Schedule(queue_.now_s() + std::max(action.delay_s, spec_.resolution_s),
                    [this, &gateway, tag = action.tag] {
                      Tell(gateway, [&](auto& b, double at, auto* out) { b.OnTimer(at, tag, out); });
                    });
  }
  void Act(Gateway& gateway, const policy::CallCounter& action) { Count(gateway, action); }
  void Act(Gateway&, const policy::LogEvent&) {}
  void Act(Gateway&, const policy::PollDiscovery&) {}

  void Send(Gateway& gateway, const policy::ForwardAttempt& action) {
    auto it = gateway.tries.find(action.request_id);
    if (it == gateway.tries.end()) return;
    Try& t = it->second;
    Tenant& tenant = tenants_[static_cast<size_t>(t.tenant)];
    double now = queue_.now_s();
    int backend = static_cast<int>(action.backend_id) - 1, attempt = static_cast<int>(t.attempts.size());
    HollowBackend& b = backends_[static_cast<size_t>(backend)];
    if (!t.sent) {
      t.sent = true;
      bool inside = t.inside = Inside(tenant, t.units);
      if (inside && spec_.quotas) tenant.store -= t.units;
      if (Measured()) {
        ++count_.sent;
        count_.added_s.Add(now - t.arrived);
        count_.units_sent += t.units;
        if (!inside) count_.units_beyond += t.units;
        if (!inside) count_.worth_over += t.units * Price(tenant) * Plan(tenant).over_quota_penalty;
      }
    }
    t.attempts.push_back({backend, true});
    // A connection that rests, the one used last, or a new one.
    std::vector<double>& idle = gateway.idle[backend];
    std::erase_if(idle, [&](double since) {
      bool over = now - since > spec_.conn_idle_s;
      if (over) b.Connected(-1);
      return over;
    });
    double way = spec_.backend_way_s;
    if (Measured()) ++count_.attempts;
    if (!idle.empty()) {
      idle.pop_back();
      if (Measured()) ++count_.reused;
    } else {
      way += spec_.connect_s;
      b.Connected(1);
      if (Measured()) ++count_.connections;
    }
    if (b.started_s() > 0) {
      auto told = gateway.told_start.find(backend);
      double mean = spec_.work_s * work_scale_;
      sent_[backend].push_back(
          {now + way, t.work_s / mean, told != gateway.told_start.end() && told->second == b.started_s()});
    }
    double done = b.Serve(now + way, t.work_s);
    double patience = std::max(action.timeout_s, spec_.resolution_s);
    CallResult result = done < 0 ? CallResult::kRejected : CallResult::kOk;
    double back = done < 0 ? now + 2 * way : done + spec_.backend_way_s;
    if (back > now + patience) {
      back = now + patience;
      result = CallResult::kTimeout;
    }
    queue_.Schedule(back, [this, &gateway, id = action.request_id, attempt, backend, result, now] {
      End(gateway, id, attempt, backend, result, now);
    });
  }

  void End(Gateway& gateway, uint32_t id, int attempt, int backend, CallResult result, double sent_at) {
    double now = queue_.now_s();
    gateway.idle[backend].push_back(now);
    auto it = gateway.tries.find(id);
    if (it == gateway.tries.end()) return;
    Try& t = it->second;
    t.attempts[static_cast<size_t>(attempt)].out = false;
    if (result == CallResult::kOk && !t.answered) {
      t.answered = true;
      Served(t);
    }
    policy::AttemptOutcome outcome;
    outcome.request_id = id;
    outcome.attempt = attempt;
    outcome.duration_s = now - sent_at;
    outcome.result = result;
    outcome.request_finished = t.answered;
    outcome.backend_id = static_cast<uint32_t>(backend) + 1;
    Tell(gateway, [&](auto& b, double at, auto* out) { b.OnAttemptOutcome(at, outcome, out); });
    Forget(gateway, id);
  }

  void Served(const Try& t) {
    double took = queue_.now_s() - t.began;
    if (t.began < kStartS + spec_.quiet_s) return;
    ++count_.served;
    count_.served_s.Add(took);
    if (took <= kAimS) {
      ++count_.in_time;
      if (t.inside) count_.worth_in_time += t.units * Price(tenants_[static_cast<size_t>(t.tenant)]);
    }
  }

  void Answer(Gateway& gateway, uint32_t id, bool refused, double stay_away) {
    auto it = gateway.tries.find(id);
    if (it == gateway.tries.end() || it->second.answered) return;
    Try& t = it->second;
    t.answered = true;
    Tenant& tenant = tenants_[static_cast<size_t>(t.tenant)];
    if (Measured()) {
      ++(refused ? count_.refused : count_.failed);
      count_.refused_with_room += refused && !t.sent && Store(tenant) >= Plan(tenant).burst_units / 2;
    }
    if (t.retry < kRetries) {
      Try again;
      again.tenant = t.tenant;
      again.cls = t.cls;
      again.retry = t.retry + 1;
      again.units = t.units;
      again.work_s = t.work_s;
      again.began = t.began;
      again.patience_s = t.patience_s;
      double wait = std::max(stay_away, 0.05 + 0.3 * random_.Uniform());
      if (queue_.now_s() + wait - t.began < t.patience_s - 0.05) {
        queue_.Schedule(queue_.now_s() + wait, [this, again]() mutable { Enter(std::move(again)); });
      }
    }
    Forget(gateway, id);
  }

  void Forget(Gateway& gateway, uint32_t id) {
    auto it = gateway.tries.find(id);
    if (it == gateway.tries.end() || !it->second.answered) return;
    for (const auto& attempt : it->second.attempts) {
      if (attempt.out) return;
    }
    gateway.tries.erase(it);
  }

  void Count(Gateway& gateway, const policy::CallCounter& action) {
    double now = queue_.now_s();
    if (Measured()) ++count_.calls;
    auto answer = counter_.Call(now + spec_.counter_way_s, action.key, action.amount, action.expiry_s);
    double back = answer.at_s < 0 ? now + kCountPatienceS : answer.at_s + spec_.counter_way_s;
    CallResult result = answer.busy ? CallResult::kRejected : CallResult::kOk;
    if (answer.at_s < 0 || back - now >= kCountPatienceS) {
      back = now + kCountPatienceS;
      result = CallResult::kTimeout;
    }
    if (Measured()) {
      count_.calls_busy += answer.busy;
      count_.calls_late += back - now > kCountTimeoutS;
    }
    queue_.Schedule(back, [this, &gateway, key = action.key, total = answer.total, result] {
      Tell(gateway, [&](auto& b, double at, auto* out) { b.OnCounterReply(at, {key, total, result}, out); });
    });
  }

  // The worst window that ended with one of the requests sent to a cold backend.
  void CheckWindows(int backend) {
    const HollowBackend& b = backends_[static_cast<size_t>(backend)];
    if (b.started_s() <= 0) return;
    auto& sent = sent_[backend];
    std::sort(sent.begin(), sent.end(), [](const Sent& a, const Sent& c) { return a.at < c.at; });
    double work = 0, told = 0, mean = spec_.work_s * work_scale_;
    size_t from = 0;
    for (const Sent& s : sent) {
      work += s.work;
      told += s.told ? s.work : 0;
      while (sent[from].at <= s.at - spec_.tip_after_s) {
        work -= sent[from].work;
        told -= sent[from].told ? sent[from].work : 0;
        ++from;
      }
      // Its capacity at the window's begin, the least it has in it.
      double fraction = b.Fraction(std::max(b.started_s(), s.at - spec_.tip_after_s));
      if (s.at > b.started_s() + spec_.warm_after_s) break;
      double allowed = spec_.tip_multiple * fraction * b.cores() / mean * spec_.tip_after_s;
      double bound = allowed + 2 * std::sqrt(allowed) + 2;
      ColdWindow& worst = count_.cold;
      worst.most_told = std::max(worst.most_told, told / bound);
      if (work / bound > worst.ratio) worst = {work / bound, told / bound, worst.most_told, work, allowed};
    }
  }

  void Conclude() {
    for (int i = 0; i < spec_.backends; ++i) CheckWindows(i);
    double most = 0, sum = 0, held = 0, held_most = 0;
    for (const HollowBackend& b : backends_) {
      if (b.started_s() > 0) continue;
      most = std::max(most, b.work_s());
      sum += b.work_s();
      held += b.connections();
      held_most = std::max<double>(held_most, b.most_connections());
    }
    double warm = static_cast<double>(
        std::count_if(backends_.begin(), backends_.end(), [](const auto& b) { return b.started_s() <= 0; }));
    count_.imbalance = sum > 0 ? most / (sum / warm) : 0;
    count_.connections_mean = warm > 0 ? held / warm : 0;
    count_.connections_most = held_most;
    count_.decision_us = 1e6 * decision_s_ / std::max<double>(1, static_cast<double>(count_.tries));
  }

  const FleetSpec spec_;
  Random random_;
  EventQueue queue_;
  Counter counter_;
  policy::Settings settings_;
  std::vector<Tenant> tenants_;
  std::vector<double> cumulative_;
  double inside_per_s_ = 0, work_scale_ = 1, decision_s_ = 0;
  std::vector<HollowBackend> backends_;
  std::vector<policy::Endpoint> entries_;
  std::vector<Gateway> gateways_;
  std::unordered_map<int, std::vector<Sent>> sent_;
  FleetCount count_;
};

}  // namespace

policy::Settings FleetSettings(const FleetSpec& spec) {
  policy::Settings s;
  s.gateway_count = spec.gateways;
  s.timer_resolution_s = spec.resolution_s;
  s.discovery_is_pushed = true;
  s.max_request_units = spec.most_units;
  s.counter_enabled = spec.quotas;
  s.counter_timeout_s = kCountTimeoutS;
  s.counter_call_price = 0.01;
  s.cancellation_enabled = true;
  s.hedging_enabled = true;
  s.retry_after_enabled = true;
  s.max_retry_after_s = 1;
  s.max_attempts = 6;
  s.connect_timeout_s = 0.25;
  s.slow_start_initial_fraction = spec.cold_from;
  s.slow_start_duration_s = spec.warm_after_s;
  s.overload_multiple = spec.tip_multiple;
  s.discovery_poll_interval_s = 10;
  for (int i = 0; i < spec.classes; ++i) {
    policy::ClassSettings c;
    c.latency_objective_s = kAimS;
    c.deadline_s = kDeadlineS;
    c.deduplication_window_s = 5;
    c.priority_weight = 1;
    c.idempotency = policy::Idempotency::kIdempotent;
    s.classes.push_back(c);
  }
  double rates[] = {spec.basic_rate, spec.pro_rate}, bursts[] = {spec.basic_burst_s, spec.pro_burst_s},
         costs[] = {0.5, 0.8};
  for (int i = 0; i < 2; ++i) {
    policy::PlanSettings p;
    p.rate_units_per_s = spec.quotas ? rates[i] : 1e9;
    p.burst_units = spec.quotas ? rates[i] * bursts[i] : 1e9;
    p.over_quota_penalty = costs[i];
    s.plans.push_back(p);
  }
  return s;
}

FleetCount RunFleet(const FleetSpec& spec) { return Fleet(spec).Run(); }

}  // namespace gateway::lab
