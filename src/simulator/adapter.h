// Connects the admission policies of many simulated gateways to the simulator's wire protocol.
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

// Runs one policy::AdmissionPolicy for each instance. The instances share only the endpoint tables, which
// belong to the process. The adapter is deterministic, since its only clock is the time in the batches. Not
// thread-safe.
class Adapter {
 public:
  // Processes the events of one batch in order and returns the reply frame with the resulting actions. The
  // frame is valid until the next call. Throws FrameError or config::ConfigError if the input violates the
  // protocol. Any other exception is a failure of the instance; it is reported in the reply in place of the
  // actions for that event.
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

  // Returns null for an instance that has not started or has stopped. Events for such an instance may still
  // arrive and are ignored.
  policy::AdmissionPolicy* FindPolicy(uint32_t instance);
  // Returns the table that the update refers to, or an empty list for a failed update. Throws FrameError if
  // the table was never sent.
  const std::vector<policy::Endpoint>& FindEndpoints(const EndpointUpdate& update) const;

  std::array<std::optional<std::vector<policy::Endpoint>>, kEndpointTableCount> tables_;
  std::map<uint32_t, std::unique_ptr<policy::AdmissionPolicy>> policies_;  // by instance
  double now_s_ = 0;                                                       // time of the current batch
  policy::Actions actions_;                                                // actions for the current event
  FrameWriter reply_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_ADAPTER_H_
