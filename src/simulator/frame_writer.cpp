#include "simulator/frame_writer.h"

#include <bit>
#include <cstring>
#include <variant>

#include "simulator/wire_protocol.h"

namespace gateway::simulator {
namespace {

static_assert(std::endian::native == std::endian::little,
              "fields are copied unchanged, and the wire is little-endian");

template <typename T>
void Put(std::string* out, T value) {
  char raw[sizeof(T)];
  std::memcpy(raw, &value, sizeof(T));
  out->append(raw, sizeof(T));
}

void PutHeader(std::string* out, ActionCode code, uint32_t instance) {
  Put<uint16_t>(out, static_cast<uint16_t>(code));
  Put<uint32_t>(out, instance);
}

void PutText(std::string* out, ActionCode code, uint32_t instance, std::string_view text) {
  text = text.substr(0, kMaxTextBytes);
  PutHeader(out, code, instance);
  Put<uint16_t>(out, static_cast<uint16_t>(text.size()));
  out->append(text);
}

// Writes an action record. It has one overload for each alternative of policy::Action.
class ActionWriter {
 public:
  ActionWriter(std::string* out, uint32_t instance) : out_(out), instance_(instance) {}

  void operator()(const policy::ForwardAttempt& action) const {
    PutHeader(out_, ActionCode::kForwardAttempt, instance_);
    Put<uint32_t>(out_, action.request_id);
    Put<uint32_t>(out_, action.backend_id);
    Put<double>(out_, action.timeout_s);
  }
  void operator()(const policy::CancelAttempt& action) const {
    PutHeader(out_, ActionCode::kCancelAttempt, instance_);
    Put<uint32_t>(out_, action.request_id);
    Put<uint8_t>(out_, static_cast<uint8_t>(action.attempt));
  }
  void operator()(const policy::RejectRequest& action) const {
    PutHeader(out_, ActionCode::kRejectRequest, instance_);
    Put<uint32_t>(out_, action.request_id);
    Put<double>(out_, action.retry_after_s);
  }
  void operator()(const policy::FailRequest& action) const {
    PutHeader(out_, ActionCode::kFailRequest, instance_);
    Put<uint32_t>(out_, action.request_id);
  }
  void operator()(const policy::StartTimer& action) const {
    PutHeader(out_, ActionCode::kStartTimer, instance_);
    Put<double>(out_, action.delay_s);
    Put<uint64_t>(out_, action.tag);
  }
  void operator()(const policy::CallCounter& action) const {
    PutHeader(out_, ActionCode::kCallCounter, instance_);
    Put<uint64_t>(out_, action.key);
    Put<float>(out_, static_cast<float>(action.amount));
    Put<double>(out_, action.expiry_s);
  }
  void operator()(const policy::PollDiscovery&) const {
    PutHeader(out_, ActionCode::kPollDiscovery, instance_);
    Put<uint8_t>(out_, 1);  // enables the subscription rather than ending it
  }
  void operator()(const policy::LogEvent& action) const {
    PutText(out_, ActionCode::kLogEvent, instance_, action.text);
  }

 private:
  std::string* out_;
  uint32_t instance_;
};

}  // namespace

FrameWriter::FrameWriter() { Reset(); }

void FrameWriter::Reset() { bytes_.assign(kFrameLengthBytes, '\0'); }

const std::string& FrameWriter::Finish() {
  auto size = static_cast<uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &size, kFrameLengthBytes);
  return bytes_;
}

void FrameWriter::Append(uint32_t instance, const policy::Action& action) {
  std::visit(ActionWriter(&bytes_, instance), action);
}

void FrameWriter::AppendFailure(uint32_t instance, std::string_view message) {
  PutText(&bytes_, ActionCode::kReportFailure, instance, message);
}

}  // namespace gateway::simulator
