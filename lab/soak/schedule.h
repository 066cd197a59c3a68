// The schedule of the failures and other events of a soak. The same seed gives the same schedule.
#ifndef GATEWAY_LAB_SOAK_SCHEDULE_H_
#define GATEWAY_LAB_SOAK_SCHEDULE_H_

#include <string>
#include <vector>

#include "lab/random.h"
#include "lab/soak/deployment.h"

namespace gateway::lab::soak {

enum class EventKind {
  kPause,            // a gateway's process is stopped and continued
  kKill,             // a gateway is killed and started again
  kKillMost,         // seven of ten gateways are killed and started again
  kRestart,          // a gateway is ended by SIGTERM, or SIGKILL if it takes too long, and started again
  kReload,           // all gateways switch to the other address of discovery and the counter and get SIGHUP
  kReloadSeries,     // one gateway gets SIGHUP several times
  kDiscoverySilent,  // the discovery agent does not answer
  kWatchesClosed,    // the discovery agent closes its connections
  kBackendDrains,    // a backend is listed as draining and is gone some seconds later
  kBackendRemoved,   // a backend is removed from the list without draining
  kBackendHangs,     // a backend does not answer
  kBackendResets,    // a backend closes all its connections
  kCounterSilent,    // the counter does not answer
  kCounterLosesState,
  kExhaustConnections,  // idle clients use up a gateway's connection slots
};

struct ScheduledEvent {
  double at_s = 0;
  EventKind kind = EventKind::kPause;
  int target = 0;         // index of the gateway or backend
  double duration_s = 0;  // how long the event lasts; 0 for an event that only triggers something
};

// Returns the events sorted by time. Many events follow each other closely, so that their effects overlap.
std::vector<ScheduledEvent> DrawSchedule(const Deployment& deployment, double duration_s, Random* random);

std::string Describe(const ScheduledEvent& event);

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_SCHEDULE_H_
