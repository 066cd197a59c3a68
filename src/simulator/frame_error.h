#ifndef GATEWAY_SIMULATOR_FRAME_ERROR_H_
#define GATEWAY_SIMULATOR_FRAME_ERROR_H_

#include <stdexcept>

namespace gateway::simulator {

// Thrown if a frame or the stream of frames violates the simulator's protocol, or if a frame cannot be
// written. what() is a complete message.
class FrameError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_ERROR_H_
