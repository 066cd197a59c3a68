// Parses frames from the simulator into typed events.
#ifndef GATEWAY_SIMULATOR_FRAME_READER_H_
#define GATEWAY_SIMULATOR_FRAME_READER_H_

#include <string_view>

#include "simulator/events.h"
#include "simulator/frame_error.h"

namespace gateway::simulator {

// Parses one complete frame, including its length field. Throws FrameError if the frame violates WIRE 3 to 8;
// no event of such a frame is returned.
EventBatch ParseBatch(std::string_view frame);

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_READER_H_
