// Moves whole frames over the adapter's standard input and output.
#ifndef GATEWAY_SIMULATOR_FRAME_STREAM_H_
#define GATEWAY_SIMULATOR_FRAME_STREAM_H_

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

#include "simulator/frame_error.h"

namespace gateway::simulator {

// Blocking. The files stay the caller's, and have to live longer.
class FrameStream {
 public:
  FrameStream(std::FILE* in, std::FILE* out) : in_(in), out_(out) {}

  // The next frame, its length field included, valid until the next call; nothing where the input ended
  // between two frames. Throws FrameError on an impossible length and on an end inside a frame.
  std::optional<std::string_view> Read();
  // Writes and flushes a frame. Throws FrameError where that fails.
  void Write(std::string_view frame);

 private:
  std::FILE* in_;
  std::FILE* out_;
  std::string frame_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_STREAM_H_
