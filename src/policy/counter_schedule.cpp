#include "policy/counter_schedule.h"

#include <algorithm>
#include <string>

#include "policy/random_source.h"

namespace gateway::policy {
namespace {

// While the counter is silent, a gateway pauses between two calls for at least kMinSilentPauseS, and long
// enough that all gateways together make at most kSilentCallsPerS calls per second.
constexpr double kMinSilentPauseS = 0.3;
constexpr double kSilentCallsPerS = 100;
// A reply that takes longer than this many counter time-outs is a sign of congestion. The socket-based
// gateway waits for three time-outs (net/gateway.cpp), because a late total is still useful.
constexpr double kSlowReplyTimeouts = 1.5;
// The congestion level grows and shrinks by these shares of itself. At any level its expected change is zero
// when one call in nine is slow or fails, which is just below the capacity of the counter.
constexpr double kCongestionGrowth = 0.4;
constexpr double kCongestionDecay = 0.05;
constexpr double kMaxCongestion = 1;
// A lookup takes this many calls on average, because some need a second call.
constexpr double kCallsPerLookup = 1.5;
// Share of requests that go unreported per unit of a call's price, and the upper limit of that share.
constexpr double kUnreportedPerPrice = 5;
constexpr double kMaxUnreportedShare = 0.8;
// While the unreported share is lower than this, the total of a tenant with unknown usage is read even if no
// request waits and no report is due.
constexpr double kMaxLookupUnreportedShare = 0.5;
// The counter may drop a key this many windows or epochs after the last call. The counter itself allows
// at most a minute.
constexpr double kUsageExpiryWindows = 3;
constexpr double kPreviousUsageExpiryWindows = 2;
constexpr double kConcurrencyExpiryEpochs = 2;
constexpr double kMaxExpiryS = 60;
// A loss of state is logged only if the previous one was longer ago than this.
constexpr double kLostStateLogIntervalS = 5;

// Derives the key from tenant, kind and period alone, so that it is the same at every gateway.
uint64_t CounterKey(const CounterSchedule::Call& call) {
  bool usage = call.kind == CounterSchedule::Call::Kind::kUsage;
  auto period = static_cast<uint64_t>(usage ? call.period : ~call.period);
  return MixBits(call.tenant_id * 0x100000001b3ULL + MixBits(period));
}

}  // namespace

double CounterSchedule::LookupPrice() const {
  return kCallsPerLookup * settings_.counter_call_price + CongestionPrice();
}

double CounterSchedule::UnreportedShare() const {
  return std::min(kMaxUnreportedShare,
                  kUnreportedPerPrice * (CongestionPrice() + settings_.counter_call_price));
}

double CounterSchedule::ReportingProbability(double ingress_gateways) const {
  return 1 - UnreportedShare() * (1 - 1 / ingress_gateways);
}

void CounterSchedule::ReportUsage(Tenant* tenant, double now_s, Actions* actions) {
  TenantQuota& quota = tenant->quota;
  if (!settings_.counter_enabled || !quota.HasRateQuota()) return;
  if (tenant->usage_call_pending || !MayCall(now_s)) return;
  bool lookup = !quota.IsOthersUsageKnown() && UnreportedShare() < kMaxLookupUnreportedShare;
  if (!lookup && tenant->waiting.empty() && !quota.IsReportDue(now_s)) return;
  Call call{Call::Kind::kUsage, tenant->id, quota.window(), quota.unreported_units(), now_s};
  if (!StartCall(call, kUsageExpiryWindows * WindowSeconds(quota.plan()), actions)) return;
  tenant->usage_call_pending = true;
  quota.MarkReported();
}

void CounterSchedule::ReportConcurrency(Tenant* tenant, double now_s, Actions* actions) {
  if (!settings_.counter_enabled || !tenant->quota.HasConcurrencyCap()) return;
  if (tenant->quota.HasSingleGateway() || tenant->concurrency_call_pending) return;
  int64_t epoch = tenant->concurrency.AdvanceEpoch(now_s);
  double change = tenant->concurrency.unreported_change();
  if (change == 0 && tenant->waiting.empty()) return;
  if (!MayCall(now_s)) return DeferConcurrencyReport(tenant, now_s, actions);
  Call call{Call::Kind::kConcurrency, tenant->id, epoch, change, now_s};
  tenant->concurrency_call_pending =
      StartCall(call, kConcurrencyExpiryEpochs * ConcurrencyQuota::kEpochS, actions);
}

void CounterSchedule::DeferConcurrencyReport(Tenant* tenant, double now_s, Actions* actions) {
  if (tenant->concurrency_report_deferred) return;
  tenant->concurrency_report_deferred = true;
  deferred_tenant_ids_.push_back(tenant->id);
  if (deferred_tenant_ids_.size() == 1) StartPauseTimer(now_s, actions);
}

void CounterSchedule::StartPauseTimer(double now_s, Actions* actions) {
  double delay_s = std::max(settings_.timer_resolution_s, next_call_at_s_ - now_s);
  actions->push_back(StartTimer{delay_s, kPauseOverTag});
}

void CounterSchedule::ReportDeferred(TenantTable* tenants, double now_s, Actions* actions) {
  while (!deferred_tenant_ids_.empty() && MayCall(now_s)) {
    Tenant* tenant = tenants->Find(deferred_tenant_ids_.front());
    deferred_tenant_ids_.pop_front();
    if (tenant == nullptr) continue;
    tenant->concurrency_report_deferred = false;
    ReportConcurrency(tenant, now_s, actions);
  }
  if (!deferred_tenant_ids_.empty()) StartPauseTimer(now_s, actions);
}

bool CounterSchedule::StartCall(const Call& call, double expiry_s, Actions* actions) {
  uint64_t key = CounterKey(call);
  if (!pending_.try_emplace(key, call).second) return false;
  double pause_share = IsSilent() ? 1 : CongestionPrice() * CongestionPrice();
  next_call_at_s_ =
      call.sent_at_s + pause_share * std::max(kMinSilentPauseS, settings_.gateway_count / kSilentCallsPerS);
  actions->push_back(CallCounter{key, call.amount, std::min(kMaxExpiryS, expiry_s)});
  return true;
}

std::optional<CounterSchedule::Call> CounterSchedule::TakePending(uint64_t key) {
  auto it = pending_.find(key);
  if (it == pending_.end()) return std::nullopt;
  Call call = it->second;
  pending_.erase(it);
  return call;
}

void CounterSchedule::ApplyReply(const Call& call, const CounterReply& reply, Tenant* tenant, double now_s,
                                 Actions* actions) {
  bool usage = call.kind == Call::Kind::kUsage;
  (usage ? tenant->usage_call_pending : tenant->concurrency_call_pending) = false;
  UpdatePrice(call, reply.result, now_s, actions);
  if (usage) return ApplyUsageReply(call, reply, tenant, now_s, actions);
  bool may_have_been_added = reply.result == CallResult::kOk || reply.result == CallResult::kTimeout;
  if (may_have_been_added) tenant->concurrency.ApplyReported(call.period, call.amount);
  if (reply.result == CallResult::kOk) tenant->concurrency.ApplyTotal(call.period, reply.total, now_s);
}

// Each failed call, whatever the reason, raises the price and so makes calls rarer, which protects a counter
// that is overloaded or down. Each quick reply lowers the price again, so that calls increase gradually when
// the counter recovers.
void CounterSchedule::UpdatePrice(const Call& call, CallResult result, double now_s, Actions* actions) {
  bool was_silent = IsSilent();
  bool ok = result == CallResult::kOk;
  bool quick = ok && now_s - call.sent_at_s < kSlowReplyTimeouts * settings_.counter_timeout_s;
  consecutive_failures_ = ok ? 0 : consecutive_failures_ + 1;
  double factor = quick ? 1 - kCongestionDecay : 1 + kCongestionGrowth;
  congestion_ = std::clamp(congestion_ * factor, kMinCongestion, kMaxCongestion);
  if (was_silent && !IsSilent()) actions->push_back(LogEvent{"counter_recovered"});
  if (!was_silent && IsSilent()) {
    actions->push_back(LogEvent{"counter_silent failures=" + std::to_string(consecutive_failures_)});
  }
}

void CounterSchedule::ApplyUsageReply(const Call& call, const CounterReply& reply, Tenant* tenant,
                                      double now_s, Actions* actions) {
  TenantQuota& quota = tenant->quota;
  if (reply.result != CallResult::kOk) {
    // After a time-out the counter may have added the units. Reporting them again could count them twice.
    if (reply.result != CallResult::kTimeout) quota.AddUnreported(call.amount);
    return;
  }
  if (call.period == quota.window()) {
    auto total = quota.ApplyTotal(call.amount, reply.total, now_s, settings_.max_request_units);
    if (total.counter_lost_state) LogLostState(*tenant, now_s, actions);
    double loss_at_risk = (1 - tenant->within_quota_share) * OverQuotaLoss(quota.plan());
    if (total.first_of_unknown_window && loss_at_risk > LookupPrice()) {
      Call previous{Call::Kind::kUsage, tenant->id, quota.window() - 1, 0, now_s};
      tenant->usage_call_pending =
          StartCall(previous, kPreviousUsageExpiryWindows * WindowSeconds(quota.plan()), actions);
    }
  }
  if (call.period + 1 == quota.window() && call.amount == 0) quota.ApplyPreviousTotal(reply.total);
}

void CounterSchedule::LogLostState(const Tenant& tenant, double now_s, Actions* actions) {
  if (now_s - lost_state_logged_at_s_ > kLostStateLogIntervalS) {
    actions->push_back(LogEvent{"counter_lost_state tenant=" + std::to_string(tenant.id)});
  }
  lost_state_logged_at_s_ = now_s;
}

}  // namespace gateway::policy
