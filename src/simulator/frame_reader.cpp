#include "simulator/frame_reader.h"

#include <bit>
#include <cmath>
#include <cstring>
#include <string>
#include <utility>

#include "simulator/wire_protocol.h"

namespace gateway::simulator {
namespace {

static_assert(std::endian::native == std::endian::little,
              "fields are copied unchanged, and the wire is little-endian");
static_assert(sizeof(float) == 4 && sizeof(double) == 8);

// Reads the fields of a frame in order. `field` names the field in the error for a truncated frame.
class FieldReader {
 public:
  explicit FieldReader(std::string_view bytes) : rest_(bytes) {}

  template <typename T>
  T Read(const char* field) {
    T value;
    std::memcpy(&value, ReadBytes(sizeof(T), field).data(), sizeof(T));
    return value;
  }

  std::string_view ReadBytes(size_t count, const char* field) {
    if (rest_.size() < count) {
      throw FrameError(std::string("frame ends inside ") + field + ": got " + std::to_string(rest_.size()) +
                       " of " + std::to_string(count) + " bytes");
    }
    std::string_view bytes = rest_.substr(0, count);
    rest_.remove_prefix(count);
    return bytes;
  }

  size_t left() const { return rest_.size(); }

 private:
  std::string_view rest_;
};

policy::CallResult ToCallResult(uint8_t code) {
  switch (static_cast<OutcomeCode>(code)) {
    case OutcomeCode::kOk: return policy::CallResult::kOk;
    case OutcomeCode::kNeverSent: return policy::CallResult::kNeverSent;
    case OutcomeCode::kCancelled: return policy::CallResult::kCancelled;
    case OutcomeCode::kReset: return policy::CallResult::kReset;
    case OutcomeCode::kConnectFailed: return policy::CallResult::kConnectFailed;
    case OutcomeCode::kTimeout: return policy::CallResult::kTimeout;
    case OutcomeCode::kRejected: return policy::CallResult::kRejected;
    case OutcomeCode::kError: return policy::CallResult::kError;
    default: throw FrameError("unknown outcome code " + std::to_string(code));
  }
}

policy::EndpointState ToEndpointState(uint8_t mode) {
  switch (static_cast<EndpointMode>(mode)) {
    case EndpointMode::kRemoved: return policy::EndpointState::kRemoved;
    case EndpointMode::kReady: return policy::EndpointState::kReady;
    case EndpointMode::kDraining: return policy::EndpointState::kDraining;
    default: throw FrameError("unknown endpoint mode " + std::to_string(mode));
  }
}

policy::EndpointUpdateKind ToEndpointUpdateKind(uint8_t scope) {
  switch (static_cast<EndpointUpdateScope>(scope)) {
    case EndpointUpdateScope::kDelta: return policy::EndpointUpdateKind::kDelta;
    case EndpointUpdateScope::kFull: return policy::EndpointUpdateKind::kFull;
    case EndpointUpdateScope::kCached: return policy::EndpointUpdateKind::kCached;
    case EndpointUpdateScope::kFailed: return policy::EndpointUpdateKind::kFailed;
    default: throw FrameError("unknown view scope " + std::to_string(scope));
  }
}

void SkipLoadReport(FieldReader* in) {
  size_t values = in->Read<uint8_t>("load report length");
  in->ReadBytes(values * sizeof(float), "load report");
}

policy::Endpoint ReadEndpoint(FieldReader* in) {
  policy::Endpoint endpoint;
  endpoint.kind = in->Read<uint8_t>("entry kind");
  endpoint.state = ToEndpointState(in->Read<uint8_t>("entry mode"));
  endpoint.zone = in->Read<uint16_t>("entry zone");
  endpoint.id = in->Read<uint32_t>("entry backend");
  endpoint.cell = in->Read<uint16_t>("entry cell");
  endpoint.weight = in->Read<float>("entry weight");
  endpoint.started_at_s = in->Read<double>("entry start time");
  return endpoint;
}

EndpointTable ReadEndpointTable(FieldReader* in) {
  EndpointTable table;
  table.table = in->Read<uint8_t>("table number");
  if (table.table >= kEndpointTableCount)
    throw FrameError("table number " + std::to_string(table.table) + " is above the maximum of 15");
  auto count = in->Read<uint32_t>("table length");
  if (count > in->left() / kEndpointBytes)
    throw FrameError("table holds fewer entries than its length field says: " + std::to_string(in->left()) +
                     " bytes are left for " + std::to_string(count) + " entries");
  table.endpoints.reserve(count);
  for (uint32_t i = 0; i < count; ++i) table.endpoints.push_back(ReadEndpoint(in));
  return table;
}

InstanceStarted ReadInstanceStarted(FieldReader* in) {
  InstanceStarted started;
  started.seed = in->Read<uint64_t>("seed");
  auto length = in->Read<uint32_t>("settings length");
  started.settings = std::string(in->ReadBytes(length, "settings"));
  return started;
}

InstanceStopped ReadInstanceStopped(FieldReader*) { return {}; }

EndpointUpdate ReadEndpointUpdate(FieldReader* in) {
  EndpointUpdate update;
  update.kind = ToEndpointUpdateKind(in->Read<uint8_t>("view scope"));
  in->Read<uint64_t>("view version");
  update.table = in->Read<uint8_t>("view table number");
  return update;
}

policy::Request ReadRequest(FieldReader* in) {
  policy::Request request;
  request.id = in->Read<uint32_t>("request id");
  request.request_class = in->Read<uint8_t>("request class");
  request.plan = in->Read<uint16_t>("request plan");
  request.tenant = in->Read<uint64_t>("request customer");
  request.time_left_s = in->Read<double>("request time left");
  request.cost_units = in->Read<float>("request units");
  request.ingress_gateways = in->Read<float>("request entries");
  in->Read<float>("request first gateway");
  in->Read<uint16_t>("request attributes");
  return request;
}

ResponseStarted ReadResponseStarted(FieldReader* in) {
  ResponseStarted started;
  started.request_id = in->Read<uint32_t>("request id");
  in->Read<uint8_t>("attempt");
  in->Read<uint32_t>("backend");
  in->Read<double>("time taken");
  return started;
}

policy::AttemptOutcome ReadAttemptOutcome(FieldReader* in) {
  policy::AttemptOutcome outcome;
  outcome.request_id = in->Read<uint32_t>("request id");
  in->Read<uint16_t>("fleet use");
  outcome.attempt = in->Read<uint8_t>("attempt");
  outcome.duration_s = in->Read<double>("time taken");
  outcome.result = ToCallResult(in->Read<uint8_t>("outcome"));
  outcome.request_finished = in->Read<uint8_t>("done flag") != 0;
  outcome.backend_id = in->Read<uint32_t>("backend");
  outcome.actual_cost_units = in->Read<uint16_t>("true units");
  SkipLoadReport(in);
  return outcome;
}

ClientGone ReadClientGone(FieldReader* in) { return {in->Read<uint32_t>("request id")}; }

TimerFired ReadTimerFired(FieldReader* in) { return {in->Read<uint64_t>("timer tag")}; }

IgnoredEvent ReadHealthCheckResult(FieldReader* in) {
  in->Read<double>("time taken");
  ToCallResult(in->Read<uint8_t>("probe result"));
  in->Read<uint32_t>("backend");
  SkipLoadReport(in);
  return {};
}

IgnoredEvent ReadPeerMessage(FieldReader* in) {
  in->Read<uint16_t>("sender");
  in->ReadBytes(in->Read<uint16_t>("message length"), "message");
  return {};
}

policy::CounterReply ReadCounterReply(FieldReader* in) {
  policy::CounterReply reply;
  in->Read<double>("time taken");
  reply.total = in->Read<float>("count total");
  reply.result = ToCallResult(in->Read<uint8_t>("count result"));
  reply.key = in->Read<uint64_t>("count name");
  return reply;
}

template <typename Body>
Event ReadInstanceEvent(FieldReader* in, Body (*read_body)(FieldReader*)) {
  auto instance = in->Read<uint32_t>("instance");
  return {instance, read_body(in)};
}

Event ReadEvent(FieldReader* in) {
  auto code = in->Read<uint16_t>("event code");
  switch (static_cast<EventCode>(code)) {
    case EventCode::kInstanceStarted: return ReadInstanceEvent(in, ReadInstanceStarted);
    case EventCode::kEndpointUpdate: return ReadInstanceEvent(in, ReadEndpointUpdate);
    case EventCode::kRequest: return ReadInstanceEvent(in, ReadRequest);
    case EventCode::kResponseStarted: return ReadInstanceEvent(in, ReadResponseStarted);
    case EventCode::kAttemptOutcome: return ReadInstanceEvent(in, ReadAttemptOutcome);
    case EventCode::kClientGone: return ReadInstanceEvent(in, ReadClientGone);
    case EventCode::kTimerFired: return ReadInstanceEvent(in, ReadTimerFired);
    case EventCode::kHealthCheckResult: return ReadInstanceEvent(in, ReadHealthCheckResult);
    case EventCode::kPeerMessage: return ReadInstanceEvent(in, ReadPeerMessage);
    case EventCode::kInstanceStopped: return ReadInstanceEvent(in, ReadInstanceStopped);
    case EventCode::kCounterReply: return ReadInstanceEvent(in, ReadCounterReply);
    case EventCode::kEndpointTable: return {0, ReadEndpointTable(in)};
    default: throw FrameError("unknown event code " + std::to_string(code));
  }
}

}  // namespace

EventBatch ParseBatch(std::string_view frame) {
  FieldReader in(frame);
  auto size = in.Read<uint32_t>("frame length");
  if (size != frame.size())
    throw FrameError("frame length " + std::to_string(size) +
                     " does not match the size of the frame, which is " + std::to_string(frame.size()) +
                     " bytes");
  EventBatch batch;
  batch.now_s = in.Read<double>("clock");
  if (!std::isfinite(batch.now_s))
    throw FrameError("clock is not a finite number: " + std::to_string(batch.now_s));
  auto records = in.Read<uint32_t>("record count");
  if (records > in.left() / kMinRecordBytes)
    throw FrameError("frame holds fewer records than its header says: " + std::to_string(in.left()) +
                     " bytes are left for " + std::to_string(records) + " records");
  batch.events.reserve(records);
  for (uint32_t i = 0; i < records; ++i) batch.events.push_back(ReadEvent(&in));
  if (in.left() != 0)
    throw FrameError("frame has " + std::to_string(in.left()) + " bytes after its last record");
  return batch;
}

}  // namespace gateway::simulator
