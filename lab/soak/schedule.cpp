#include "lab/soak/schedule.h"

#include <cstdio>

namespace gateway::lab::soak {
namespace {

constexpr double kQuietStartS = 1;     // leaves time to establish connections
constexpr double kQuietEndS = 4;       // leaves time for requests and events to end
constexpr double kOverlapShare = 0.6;  // share of the events that follow another one closely
constexpr double kMaxOverlapGapS = 0.3;
constexpr double kMinGapS = 0.3;
constexpr double kMaxGapS = 1.8;

struct EventWeight {
  EventKind kind;
  double weight;
  double min_duration_s;
  double max_duration_s;
};

constexpr EventWeight kEventWeights[] = {
    {EventKind::kPause, 3, 0.05, 1},
    {EventKind::kKill, 2, 0, 0},
    {EventKind::kKillMost, 1, 0, 0},
    {EventKind::kRestart, 3, 0, 0},
    {EventKind::kReload, 1, 0, 0},
    {EventKind::kReloadSeries, 1, 0, 0},
    {EventKind::kDiscoverySilent, 1, 0.3, 5},
    {EventKind::kWatchesClosed, 1, 0, 0},
    {EventKind::kBackendDrains, 2, 2, 4},
    {EventKind::kBackendRemoved, 1, 2, 4},
    {EventKind::kBackendHangs, 2, 0.5, 3},
    {EventKind::kBackendResets, 2, 0, 0},
    {EventKind::kCounterSilent, 1, 0.3, 3},
    {EventKind::kCounterLosesState, 1, 0, 0},
    {EventKind::kExhaustConnections, 1.5, 0, 0},
};

const char* Name(EventKind kind) {
  switch (kind) {
    case EventKind::kPause: return "hold";
    case EventKind::kKill: return "kill";
    case EventKind::kKillMost: return "kill_most";
    case EventKind::kRestart: return "restart";
    case EventKind::kReload: return "reload";
    case EventKind::kReloadSeries: return "reload_series";
    case EventKind::kDiscoverySilent: return "discovery_silent";
    case EventKind::kWatchesClosed: return "watches_end";
    case EventKind::kBackendDrains: return "backend_drains";
    case EventKind::kBackendRemoved: return "backend_vanishes";
    case EventKind::kBackendHangs: return "backend_hangs";
    case EventKind::kBackendResets: return "backend_resets";
    case EventKind::kCounterSilent: return "counter_silent";
    case EventKind::kCounterLosesState: return "counter_loses_state";
    case EventKind::kExhaustConnections: return "crowd";
  }
  return "";
}

bool TargetsBackend(EventKind kind) {
  return kind == EventKind::kBackendDrains || kind == EventKind::kBackendRemoved ||
         kind == EventKind::kBackendHangs || kind == EventKind::kBackendResets;
}

const EventWeight& DrawKind(Random* random) {
  double sum = 0;
  for (const EventWeight& entry : kEventWeights) sum += entry.weight;
  double left = random->Between(0, sum);
  for (const EventWeight& entry : kEventWeights) {
    left -= entry.weight;
    if (left < 0) return entry;
  }
  return kEventWeights[0];
}

double DrawGap(Random* random) {
  if (random->Uniform() < kOverlapShare) return random->Between(0, kMaxOverlapGapS);
  return random->Between(kMinGapS, kMaxGapS);
}

}  // namespace

std::vector<ScheduledEvent> DrawSchedule(const Deployment& deployment, double duration_s, Random* random) {
  std::vector<ScheduledEvent> schedule;
  double at_s = kQuietStartS;
  while (at_s < duration_s - kQuietEndS) {
    const EventWeight& drawn = DrawKind(random);
    int targets = TargetsBackend(drawn.kind) ? deployment.backends : deployment.gateways;
    ScheduledEvent event{at_s, drawn.kind, random->Below(targets),
                         random->Between(drawn.min_duration_s, drawn.max_duration_s)};
    if (event.kind != EventKind::kExhaustConnections || deployment.idle_clients > 0)
      schedule.push_back(event);
    at_s += DrawGap(random);
  }
  return schedule;
}

std::string Describe(const ScheduledEvent& event) {
  char text[96];
  std::snprintf(text, sizeof(text), "%s target=%d duration_s=%.3f", Name(event.kind), event.target,
                event.duration_s);
  return text;
}

}  // namespace gateway::lab::soak
