// The simulator's frames: batches of events in, replies with actions out. Little-endian, packed; the layout
// is that of WIRE, "Events" and "Actions".
#ifndef GATEWAY_SIMULATOR_FRAME_CODEC_H_
#define GATEWAY_SIMULATOR_FRAME_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "policy/actions.h"
#include "policy/events.h"
#include "simulator/frame_error.h"

namespace gateway::simulator {

inline constexpr size_t kMaxFrameBytes = size_t{1} << 28;
inline constexpr int kEndpointTableCount = 16;

// A gateway starts, under an instance number that may have been another's before.
struct InstanceStarted {
  uint64_t seed = 0;
  std::string settings;  // as config::ParseSettings reads them
};
struct InstanceStopped {};
// A list that later EndpointViews refer to by its table number.
struct EndpointTable {
  int table = 0;
  std::vector<policy::Endpoint> endpoints;
};
struct EndpointView {
  policy::EndpointUpdateKind kind = policy::EndpointUpdateKind::kFull;
  int table = 0;
};
struct ResponseStarted {
  uint32_t request_id = 0;
};
struct ClientGone {
  uint32_t request_id = 0;
};
struct TimerFired {
  uint64_t tag = 0;
};
// A health check's result or another gateway's message: checked for its form, and used by nothing.
struct IgnoredEvent {};

struct Event {
  uint32_t instance = 0;  // of no meaning for an EndpointTable
  std::variant<InstanceStarted, InstanceStopped, EndpointTable, EndpointView, policy::Request,
               ResponseStarted, policy::AttemptOutcome, ClientGone, TimerFired, IgnoredEvent,
               policy::CounterReply>
      body;
};

struct EventBatch {
  double now_s = 0;
  std::vector<Event> events;
};

// Parses one complete frame, length field included. Throws FrameError.
EventBatch ParseBatch(std::string_view frame);

// Builds one reply frame after another.
class ReplyWriter {
 public:
  ReplyWriter();
  void Append(uint32_t instance, const policy::Action& action);
  // Reports that the instance has failed, with a message.
  void AppendBroken(uint32_t instance, std::string_view text);
  // The complete frame, valid until the next call.
  const std::string& Finish();
  // Begins the next frame.
  void Reset();

 private:
  std::string bytes_;
};

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_FRAME_CODEC_H_
