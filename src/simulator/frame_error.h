#ifndef GATEWAY_SIMULATOR_FRAME_ERROR_H_
#define GATEWAY_SIMULATOR_FRAME_ERROR_H_

#include <stdexcept>

namespace gateway::simulator {

// What is wrong with a frame, or with the stream of frames. what() is a whole message.
class FrameError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_ERROR_H_
