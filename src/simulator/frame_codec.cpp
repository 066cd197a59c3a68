#include "simulator/frame_codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <unordered_map>
#include <utility>

namespace gateway::simulator {
namespace {

static_assert(sizeof(float) == 4 && sizeof(double) == 8);

class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T Get(const char* what) {
    if (bytes_.size() - at_ < sizeof(T)) {
      throw FrameError(std::string("frame ends inside ") + what);
    }
    T value;
    std::memcpy(&value, bytes_.data() + at_, sizeof(T));
    at_ += sizeof(T);
    return value;
  }

  std::string_view Bytes(size_t n, const char* what) {
    if (bytes_.size() - at_ < n) {
      throw FrameError(std::string("frame ends inside ") + what);
    }
    std::string_view part = bytes_.substr(at_, n);
    at_ += n;
    return part;
  }

  void SkipLoadReport() {
    size_t figures = Get<uint8_t>("load report length");
    for (size_t i = 0; i < figures; ++i) Get<float>("load report");
  }

  size_t left() const { return bytes_.size() - at_; }

 private:
  std::string_view bytes_;
  size_t at_ = 0;
};

policy::CallResult ToResult(uint8_t code) {
  switch (code) {
    case 0: return policy::CallResult::kOk;
    case 255: return policy::CallResult::kError;
    case 254: return policy::CallResult::kRejected;
    case 253: return policy::CallResult::kTimeout;
    case 252: return policy::CallResult::kConnectFailed;
    case 251: return policy::CallResult::kReset;
    case 250: return policy::CallResult::kCancelled;
    case 249: return policy::CallResult::kNeverSent;
    default: throw FrameError("unknown outcome code " + std::to_string(code));
  }
}

policy::Endpoint ReadEntry(Reader* in) {
  policy::Endpoint b;
  b.kind = in->Get<uint8_t>("entry kind");
  uint8_t mode = in->Get<uint8_t>("entry mode");
  if (mode > 2) throw FrameError("unknown backend mode " + std::to_string(mode));
  b.state = mode == 1   ? policy::EndpointState::kReady
            : mode == 2 ? policy::EndpointState::kDraining
                        : policy::EndpointState::kRemoved;
  b.zone = in->Get<uint16_t>("entry zone");
  b.id = in->Get<uint32_t>("entry backend");
  b.cell = in->Get<uint16_t>("entry cell");
  b.weight = in->Get<float>("entry weight");
  b.started_s = in->Get<double>("entry start time");
  return b;
}

Event ReadEvent(Reader* in) {
  uint16_t code = in->Get<uint16_t>("event code");
  Event event;
  if (code == 1110) {
    EndpointTable table;
    table.table = in->Get<uint8_t>("table number");
    if (table.table >= kEndpointTableCount)
      throw FrameError("table number " + std::to_string(table.table) + " is above 15");
    uint32_t n = in->Get<uint32_t>("table length");
    if (n > in->left() / 22) throw FrameError("table holds fewer entries than it says");
    table.endpoints.reserve(n);
    for (uint32_t i = 0; i < n; ++i) table.endpoints.push_back(ReadEntry(in));
    event.body = std::move(table);
    return event;
  }
  if (code < 1000 || code > 1100 || code % 10 != 0) {
    throw FrameError("unknown event code " + std::to_string(code));
  }
  event.instance = in->Get<uint32_t>("instance");
  switch (code) {
    case 1000: {
      InstanceStarted up;
      up.seed = in->Get<uint64_t>("seed");
      uint32_t n = in->Get<uint32_t>("settings length");
      up.settings = std::string(in->Bytes(n, "settings"));
      event.body = std::move(up);
      break;
    }
    case 1010: {
      EndpointView view;
      uint8_t scope = in->Get<uint8_t>("view scope");
      if (scope > 3) throw FrameError("unknown view scope " + std::to_string(scope));
      view.kind = static_cast<policy::EndpointUpdateKind>(scope);
      in->Get<uint64_t>("view version");
      view.table = in->Get<uint8_t>("view table number");
      event.body = view;
      break;
    }
    case 1020: {
      policy::Request r;
      r.id = in->Get<uint32_t>("request id");
      r.request_class = in->Get<uint8_t>("request class");
      r.plan = in->Get<uint16_t>("request plan");
      r.tenant = in->Get<uint64_t>("request customer");
      r.time_left_s = in->Get<double>("request time left");
      r.cost_units = in->Get<float>("request units");
      r.ingress_gateways = in->Get<float>("request entries");
      in->Get<float>("request first gateway");
      in->Get<uint16_t>("request attributes");
      event.body = r;
      break;
    }
    case 1030: {
      ResponseStarted begun;
      begun.request_id = in->Get<uint32_t>("request id");
      in->Get<uint8_t>("attempt");
      in->Get<uint32_t>("backend");
      in->Get<double>("time taken");
      event.body = begun;
      break;
    }
    case 1040: {
      policy::AttemptOutcome o;
      o.request_id = in->Get<uint32_t>("request id");
      in->Get<uint16_t>("fleet use");
      o.attempt = in->Get<uint8_t>("attempt");
      o.duration_s = in->Get<double>("time taken");
      o.result = ToResult(in->Get<uint8_t>("outcome"));
      o.request_finished = in->Get<uint8_t>("done flag") != 0;
      o.backend_id = in->Get<uint32_t>("backend");
      o.actual_cost_units = in->Get<uint16_t>("true units");
      in->SkipLoadReport();
      event.body = o;
      break;
    }
    case 1050: event.body = ClientGone{in->Get<uint32_t>("request id")}; break;
    case 1060: event.body = TimerFired{in->Get<uint64_t>("timer tag")}; break;
    case 1070: {
      in->Get<double>("time taken");
      ToResult(in->Get<uint8_t>("probe result"));
      in->Get<uint32_t>("backend");
      in->SkipLoadReport();
      event.body = IgnoredEvent{};
      break;
    }
    case 1080: {
      in->Get<uint16_t>("sender");
      in->Bytes(in->Get<uint16_t>("message length"), "message");
      event.body = IgnoredEvent{};
      break;
    }
    case 1090: event.body = InstanceStopped{}; break;
    case 1100: {
      policy::CounterReply c;
      in->Get<double>("time taken");
      c.total = in->Get<float>("count total");
      c.result = ToResult(in->Get<uint8_t>("count result"));
      c.key = in->Get<uint64_t>("count name");
      event.body = c;
      break;
    }
    default: throw FrameError("unknown event code " + std::to_string(code));
  }
  return event;
}

template <typename T>
void Put(std::string* out, T value) {
  char raw[sizeof(T)];
  std::memcpy(raw, &value, sizeof(T));
  out->append(raw, sizeof(T));
}

void PutText(std::string* out, uint16_t code, uint32_t instance, std::string_view text) {
  text = text.substr(0, 65535);
  Put<uint16_t>(out, code);
  Put<uint32_t>(out, instance);
  Put<uint16_t>(out, static_cast<uint16_t>(text.size()));
  out->append(text);
}

}  // namespace

EventBatch ParseBatch(std::string_view frame) {
  Reader in(frame);
  uint32_t size = in.Get<uint32_t>("frame length");
  if (size != frame.size()) throw FrameError("frame length does not match its bytes");
  EventBatch batch;
  batch.now_s = in.Get<double>("clock");
  if (!std::isfinite(batch.now_s)) throw FrameError("clock is not a number");
  uint32_t records = in.Get<uint32_t>("record count");
  if (records > in.left() / 6) throw FrameError("frame holds fewer records than it says");
  batch.events.reserve(records);
  for (uint32_t i = 0; i < records; ++i) batch.events.push_back(ReadEvent(&in));
  if (in.left() != 0) throw FrameError("frame has bytes after its last record");
  return batch;
}

ReplyWriter::ReplyWriter() { Reset(); }

void ReplyWriter::Reset() { bytes_.assign(4, '\0'); }

const std::string& ReplyWriter::Finish() {
  uint32_t size = static_cast<uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &size, sizeof(size));
  return bytes_;
}

void ReplyWriter::AppendBroken(uint32_t instance, std::string_view text) {
  PutText(&bytes_, 1120, instance, text);
}

namespace {

// Writes one action after its head of code and instance.
class ActionWriter {
 public:
  ActionWriter(std::string* bytes, uint32_t instance) : bytes_(bytes), instance_(instance) {}

  void operator()(const policy::ForwardAttempt& action) {
    Head(1050);
    Put<uint32_t>(bytes_, action.request_id);
    Put<uint32_t>(bytes_, action.backend_id);
    Put<double>(bytes_, action.timeout_s);
  }
  void operator()(const policy::CancelAttempt& action) {
    Head(1060);
    Put<uint32_t>(bytes_, action.request_id);
    Put<uint8_t>(bytes_, static_cast<uint8_t>(action.attempt));
  }
  void operator()(const policy::RejectRequest& action) {
    Head(1070);
    Put<uint32_t>(bytes_, action.request_id);
    Put<double>(bytes_, action.retry_after_s);
  }
  void operator()(const policy::FailRequest& action) {
    Head(1000);
    Put<uint32_t>(bytes_, action.request_id);
  }
  void operator()(const policy::StartTimer& action) {
    Head(1030);
    Put<double>(bytes_, action.delay_s);
    Put<uint64_t>(bytes_, action.tag);
  }
  void operator()(const policy::CallCounter& action) {
    Head(1100);
    Put<uint64_t>(bytes_, action.key);
    Put<float>(bytes_, static_cast<float>(action.amount));
    Put<double>(bytes_, action.expiry_s);
  }
  void operator()(const policy::PollDiscovery&) {
    Head(1040);
    Put<uint8_t>(bytes_, 1);
  }
  void operator()(const policy::LogEvent& action) { PutText(bytes_, 1020, instance_, action.text); }

 private:
  void Head(uint16_t code) {
    Put<uint16_t>(bytes_, code);
    Put<uint32_t>(bytes_, instance_);
  }

  std::string* bytes_;
  uint32_t instance_;
};

}  // namespace

void ReplyWriter::Append(uint32_t instance, const policy::Action& action) {
  std::visit(ActionWriter(&bytes_, instance), action);
}

}  // namespace gateway::simulator
