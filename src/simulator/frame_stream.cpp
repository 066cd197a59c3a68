#include "simulator/frame_stream.h"

#include <cstdint>
#include <cstring>

#include "simulator/wire_protocol.h"

namespace gateway::simulator {

std::optional<std::string_view> FrameStream::Read() {
  frame_.resize(kFrameLengthBytes);
  size_t length_bytes = std::fread(frame_.data(), 1, kFrameLengthBytes, in_);
  if (length_bytes == 0) return std::nullopt;
  if (length_bytes < kFrameLengthBytes)
    throw FrameError("input ends inside a frame length: got " + std::to_string(length_bytes) + " of " +
                     std::to_string(kFrameLengthBytes) + " bytes");
  uint32_t size;
  std::memcpy(&size, frame_.data(), sizeof(size));
  if (size < kBatchHeaderBytes)
    throw FrameError("frame length " + std::to_string(size) + " is smaller than the batch header of " +
                     std::to_string(kBatchHeaderBytes) + " bytes");
  if (size > kMaxFrameBytes)
    throw FrameError("frame length " + std::to_string(size) + " is too large, the maximum is " +
                     std::to_string(kMaxFrameBytes) + " bytes");
  frame_.resize(size);
  size_t rest = size - kFrameLengthBytes;
  if (std::fread(frame_.data() + kFrameLengthBytes, 1, rest, in_) != rest)
    throw FrameError("input ends inside a frame of " + std::to_string(size) + " bytes");
  return frame_;
}

void FrameStream::Write(std::string_view frame) {
  bool written = std::fwrite(frame.data(), 1, frame.size(), out_) == frame.size();
  if (!written || std::fflush(out_) != 0)
    throw FrameError("cannot write the reply frame of " + std::to_string(frame.size()) + " bytes");
}

}  // namespace gateway::simulator
