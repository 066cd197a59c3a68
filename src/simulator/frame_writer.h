// Frames to the simulator: typed actions in, bytes out.
#ifndef GATEWAY_SIMULATOR_FRAME_WRITER_H_
#define GATEWAY_SIMULATOR_FRAME_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "policy/actions.h"

namespace gateway::simulator {

// Builds one reply frame after another, actions in the order in which they are appended (WIRE 9).
class FrameWriter {
 public:
  FrameWriter();
  void Append(uint32_t instance, const policy::Action& action);
  // Reports that the instance's decision code failed, with a message. A text is cut at kMaxTextBytes.
  void AppendFailure(uint32_t instance, std::string_view message);
  // The complete frame, valid until the next call.
  const std::string& Finish();
  // Begins the next frame.
  void Reset();

 private:
  std::string bytes_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_WRITER_H_
