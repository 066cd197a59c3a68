// Codes and sizes of the simulator's wire protocol (WIRE, sections 3 to 9). The comment beside each code
// gives its name in the protocol. frame_reader and frame_writer translate the names of the fields.
#ifndef GATEWAY_SIMULATOR_WIRE_PROTOCOL_H_
#define GATEWAY_SIMULATOR_WIRE_PROTOCOL_H_

#include <cstddef>
#include <cstdint>

namespace gateway::simulator {

// Records of a batch, which the simulator sends to the adapter (WIRE 6). In every record but kEndpointTable
// the instance number follows the code.
enum class EventCode : uint16_t {
  kInstanceStarted = 1000,    // Up
  kEndpointUpdate = 1010,     // View
  kRequest = 1020,            // Request
  kResponseStarted = 1030,    // Established
  kAttemptOutcome = 1040,     // Done
  kClientGone = 1050,         // Abandoned
  kTimerFired = 1060,         // TickDue
  kHealthCheckResult = 1070,  // HealthResult
  kPeerMessage = 1080,        // Message
  kInstanceStopped = 1090,    // Exit
  kCounterReply = 1100,       // Total
  kEndpointTable = 1110,      // Table
};

// Records of a reply, which the adapter sends to the simulator (WIRE 9). The policy does not use the other
// records of the protocol, which are Share, Poll, ListAll and Disconnect.
enum class ActionCode : uint16_t {
  kFailRequest = 1000,     // Abort
  kLogEvent = 1020,        // Remark
  kStartTimer = 1030,      // SetTimer
  kPollDiscovery = 1040,   // KeepInformed
  kForwardAttempt = 1050,  // Assign
  kCancelAttempt = 1060,   // AbortAttempt
  kRejectRequest = 1070,   // OverloadReply
  kCallCounter = 1100,     // Enter
  kReportFailure = 1120,   // Broken
};

// The outcome of an attempt or of a counter call (WIRE 8).
enum class OutcomeCode : uint8_t {
  kOk = 0,               // ok
  kNeverSent = 249,      // moot
  kCancelled = 250,      // cancelled
  kReset = 251,          // reset
  kConnectFailed = 252,  // connect failed
  kTimeout = 253,        // timeout
  kRejected = 254,       // full
  kError = 255,          // error
};

// The field `mode` of an endpoint table entry (WIRE 7).
enum class EndpointMode : uint8_t {
  kRemoved = 0,   // gone
  kReady = 1,     // ready
  kDraining = 2,  // draining
};

// The field `scope` of the record View.
enum class EndpointUpdateScope : uint8_t {
  kDelta = 0,   // delta
  kFull = 1,    // full
  kCached = 2,  // cached
  kFailed = 3,  // failed
};

inline constexpr size_t kFrameLengthBytes = 4;   // the length field at the start of each frame
inline constexpr size_t kBatchHeaderBytes = 16;  // length, clock, number of records
inline constexpr size_t kMinRecordBytes = 6;     // code and instance
inline constexpr size_t kEndpointBytes = 22;     // one entry of a table
inline constexpr size_t kMaxFrameBytes = size_t{1} << 28;
inline constexpr size_t kMaxTextBytes = 65535;  // limit of the 16-bit length field of a text
inline constexpr int kEndpointTableCount = 16;

}  // namespace gateway::simulator

#endif  // GATEWAY_SIMULATOR_WIRE_PROTOCOL_H_
