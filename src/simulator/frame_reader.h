// Frames from the simulator: bytes in, typed events out.
#ifndef GATEWAY_SIMULATOR_FRAME_READER_H_
#define GATEWAY_SIMULATOR_FRAME_READER_H_

#include <string_view>

#include "simulator/events.h"
#include "simulator/frame_error.h"

namespace gateway::simulator {

// Parses one complete frame, its length field included. Throws FrameError on a frame that does not follow
// WIRE 3 to 8; nothing is taken from such a frame.
EventBatch ParseBatch(std::string_view frame);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_READER_H_
