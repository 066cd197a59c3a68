// Reads and writes complete frames on the adapter's standard input and output.
#ifndef GATEWAY_SIMULATOR_FRAME_STREAM_H_
#define GATEWAY_SIMULATOR_FRAME_STREAM_H_

#include <cstdio>
#include <optional>
#include <string>
#include <string_view>

#include "simulator/frame_error.h"

namespace gateway::simulator {

// Reads and writes with blocking calls. The caller owns the files, which have to outlive the stream.
class FrameStream {
 public:
  FrameStream(std::FILE* in, std::FILE* out) : in_(in), out_(out) {}

  // Returns the next frame, including its length field; it is valid until the next call. Returns nullopt if
  // the input ended between two frames. Throws FrameError if the length is out of range or the input ends
  // inside a frame.
  std::optional<std::string_view> Read();
  // Writes and flushes a frame. Throws FrameError if that fails.
  void Write(std::string_view frame);

 private:
  std::FILE* in_;
  std::FILE* out_;
  std::string frame_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_STREAM_H_
