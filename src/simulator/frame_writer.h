// Serializes typed actions into frames for the simulator.
#ifndef GATEWAY_SIMULATOR_FRAME_WRITER_H_
#define GATEWAY_SIMULATOR_FRAME_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/actions.h"

namespace gateway::simulator {

// Builds reply frames (WIRE 9), one at a time. A frame holds the actions in the order in which they were
// appended. Texts are truncated to kMaxTextBytes.
class FrameWriter {
 public:
  FrameWriter();
  void Append(uint32_t instance, const policy::Action& action);
  // Appends a record which says that the policy of the instance failed, with a message.
  void AppendFailure(uint32_t instance, std::string_view message);
  // Returns the complete frame, which is valid until the next call of a member function.
  const std::string& Finish();
  // Discards the current frame and starts the next one.
  void Reset();

 private:
  std::string bytes_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_WRITER_H_
