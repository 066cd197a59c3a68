// Hosts the decision modules of many gateways behind the simulator's wire.
#ifndef GATEWAY_SIMULATOR_ADAPTER_H_
#define GATEWAY_SIMULATOR_ADAPTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config_error.h"
#include "policy/admission_policy.h"
#include "simulator/events.h"
#include "simulator/frame_error.h"
#include "simulator/frame_writer.h"
#include "simulator/wire_protocol.h"

namespace gateway::simulator {

// One policy::AdmissionPolicy for each instance; they share nothing but the endpoint tables, which are the
// process's. Deterministic: its only clock is that of the batches. Not thread-safe.
class Adapter {
 public:
  // Plays the events of one batch in order, and returns the reply frame with the actions, valid until the
  // next call. Throws FrameError and config::ConfigError on input that does not follow the protocol; any
  // other exception is an instance's failure and goes into the reply, in place of the actions for that event.
  const std::string& HandleBatch(std::string_view frame);

 private:
  void HandleEvent(Event* event);

  void Handle(uint32_t instance, const InstanceStarted& started);
  void Handle(uint32_t instance, const InstanceStopped& stopped);
  void Handle(uint32_t instance, EndpointTable& table);
  void Handle(uint32_t instance, const EndpointUpdate& update);
  void Handle(uint32_t instance, const policy::Request& request);
  void Handle(uint32_t instance, const ResponseStarted& started);
  void Handle(uint32_t instance, const policy::AttemptOutcome& outcome);
  void Handle(uint32_t instance, const ClientGone& gone);
  void Handle(uint32_t instance, const TimerFired& timer);
  void Handle(uint32_t instance, const IgnoredEvent& ignored);
  void Handle(uint32_t instance, const policy::CounterReply& reply);

  // Null for an instance that has not started, or has stopped: events may still come for it, and are ignored.
  policy::AdmissionPolicy* FindPolicy(uint32_t instance);
  const std::vector<policy::Endpoint>& FindEndpoints(const EndpointUpdate& update) const;

  std::array<std::optional<std::vector<policy::Endpoint>>, kEndpointTableCount> tables_;
  std::map<uint32_t, std::unique_ptr<policy::AdmissionPolicy>> policies_;  // by instance
  double now_s_ = 0;                                                       // of the batch being played
  policy::Actions actions_;                                                // of the event being played
  FrameWriter reply_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_ADAPTER_H_
