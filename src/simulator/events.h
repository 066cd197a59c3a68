// The events in a batch from the simulator. Events that the policy accepts unchanged have the types of
// policy/events.h.
#ifndef GATEWAY_SIMULATOR_EVENTS_H_
#define GATEWAY_SIMULATOR_EVENTS_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "policy/events.h"

namespace gateway::simulator {

// A gateway started. Its instance number may be reused from a gateway that stopped.
struct InstanceStarted {
  uint64_t seed = 0;     // seed of the policy's random numbers
  std::string settings;  // in the format of config::ParseSettings()
};

// A gateway stopped and lost all its state.
struct InstanceStopped {};

// A list of endpoints to which later EndpointUpdates of any instance refer by its number. It replaces the
// table with the same number, also within one batch.
struct EndpointTable {
  int table = 0;  // below kEndpointTableCount
  std::vector<policy::Endpoint> endpoints;
};

// Discovery notified an instance of the endpoints in a table.
struct EndpointUpdate {
  policy::EndpointUpdateKind kind = policy::EndpointUpdateKind::kFull;
  int table = 0;  // unused for kFailed
};

// The first bytes of the response were sent to the client.
struct ResponseStarted {
  uint32_t request_id = 0;
};

struct ClientGone {
  uint32_t request_id = 0;
};

struct TimerFired {
  uint64_t tag = 0;  // the tag of the policy::StartTimer action
};

// The result of a health check or a message from another gateway. The policy uses neither, but their format
// is validated.
struct IgnoredEvent {};

struct Event {
  using Body = std::variant<InstanceStarted, InstanceStopped, EndpointTable, EndpointUpdate, policy::Request,
                            ResponseStarted, policy::AttemptOutcome, ClientGone, TimerFired, IgnoredEvent,
                            policy::CounterReply>;

  uint32_t instance = 0;  // unused for an EndpointTable
  Body body;
};

// Events that happen at the same time, in the order in which they are processed.
struct EventBatch {
  double now_s = 0;
  std::vector<Event> events;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_EVENTS_H_
