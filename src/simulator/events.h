// The events of the simulator, as a batch carries them. What the decision module takes as it is keeps the
// type of policy/events.h.
#ifndef GATEWAY_SIMULATOR_EVENTS_H_
#define GATEWAY_SIMULATOR_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "policy/events.h"

namespace gateway::simulator {

// A gateway starts. Its instance number may have been that of one that stopped.
struct InstanceStarted {
  uint64_t seed = 0;     // of its random numbers
  std::string settings;  // as config::ParseSettings reads them
};

// A gateway died, and everything it knew with it.
struct InstanceStopped {};

// A list of endpoints for the EndpointUpdates that follow, of any instance. It replaces the table of the same
// number, also within one batch.
struct EndpointTable {
  int table = 0;  // below kEndpointTableCount
  std::vector<policy::Endpoint> endpoints;
};

// Discovery notified an instance.
struct EndpointUpdate {
  policy::EndpointUpdateKind kind = policy::EndpointUpdateKind::kFull;
  int table = 0;  // of no meaning for kFailed
};

// The first bytes of an answer went to the client.
struct ResponseStarted {
  uint32_t request_id = 0;
};

struct ClientGone {
  uint32_t request_id = 0;
};

struct TimerFired {
  uint64_t tag = 0;  // of the policy::StartTimer
};

// A health check's result or another gateway's message. Its form is checked; the policy uses neither.
struct IgnoredEvent {};

struct Event {
  using Body = std::variant<InstanceStarted, InstanceStopped, EndpointTable, EndpointUpdate, policy::Request,
                            ResponseStarted, policy::AttemptOutcome, ClientGone, TimerFired, IgnoredEvent,
                            policy::CounterReply>;

  uint32_t instance = 0;  // of no meaning for an EndpointTable
  Body body;
};

// Events that happen at the same time, in order.
struct EventBatch {
  double now_s = 0;
  std::vector<Event> events;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_EVENTS_H_
