// What happens to a deployment in a soak, and when. The same seed gives the same schedule.
#ifndef GATEWAY_LAB_SOAK_SCHEDULE_H_
#define GATEWAY_LAB_SOAK_SCHEDULE_H_

#include <string>
#include <vector>

#include "lab/random.h"
#include "lab/soak/deployment.h"

namespace gateway::lab::soak {

enum class EventKind {
  kHold,             // a gateway's process stands still
  kKill,             // a gateway is killed and started again
  kKillMost,         // seven in ten gateways are
  kRestart,          // a gateway is told to end, killed at the earliest, and started again
  kReload,           // all gateways get SIGHUP, and the other address of discovery and counter
  kReloadSeries,     // one gateway gets SIGHUP several times
  kDiscoverySilent,  // the agent answers nothing
  kWatchesEnd,       // its connections end
  kBackendDrains,    // and is gone some seconds later
  kBackendVanishes,  // from the list, at once
  kBackendHangs,     // answers nothing
  kBackendResets,    // ends all its connections
  kCounterSilent,    // the counter answers nothing
  kCounterLosesState,
  kCrowd,  // idle clients fill a gateway's places
};

struct ScheduledEvent {
  double at_s = 0;
  EventKind kind = EventKind::kHold;
  int target = 0;         // a gateway or a backend
  double duration_s = 0;  // of a hold or a silence
};

// In the order of time. Events often come right after one another, so that their effects cross.
std::vector<ScheduledEvent> DrawSchedule(const Deployment& deployment, double duration_s, Random* random);

std::string Describe(const ScheduledEvent& event);

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_SCHEDULE_H_
