// Adapter: hosts one policy::AdmissionPolicy for each instance on the bench's wire (standard input and
// output).
#include <array>
#include <cstdio>
#include <cstring>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "config/config_error.h"
#include "config/settings_parser.h"
#include "policy/admission_policy.h"
#include "simulator/frame_codec.h"

namespace gateway::simulator {
namespace {

// False at a clean end of input; throws when it ends inside a frame.
bool ReadFrame(std::FILE* in, std::string* frame) {
  frame->resize(4);
  size_t got = std::fread(frame->data(), 1, 4, in);
  if (got == 0) return false;
  if (got < 4) throw FrameError("input ends inside a frame length");
  uint32_t size;
  std::memcpy(&size, frame->data(), sizeof(size));
  if (size < 16) throw FrameError("frame length " + std::to_string(size) + " is below its header");
  if (size > kMaxFrameBytes) throw FrameError("frame length " + std::to_string(size) + " is too large");
  frame->resize(size);
  if (std::fread(frame->data() + 4, 1, size - 4, in) != size - 4)
    throw FrameError("input ends inside a frame");
  return true;
}

class Host {
 public:
  void Run(std::FILE* in, std::FILE* out) {
    std::string frame;
    while (ReadFrame(in, &frame)) {
      EventBatch batch = ParseBatch(frame);
      reply_.Reset();
      for (Event& event : batch.events) Handle(batch.now_s, &event);
      const std::string& bytes = reply_.Finish();
      if (std::fwrite(bytes.data(), 1, bytes.size(), out) != bytes.size() || std::fflush(out) != 0) {
        throw FrameError("cannot write the reply");
      }
    }
  }

 private:
  void Handle(double now, Event* event) {
    if (auto* table = std::get_if<EndpointTable>(&event->body)) {
      tables_[table->table] = std::move(table->endpoints);
      return;
    }
    const std::vector<policy::Endpoint>* entries = &no_entries_;
    if (auto* view = std::get_if<EndpointView>(&event->body);
        view != nullptr && view->kind != policy::EndpointUpdateKind::kFailed) {
      if (view->table >= kEndpointTableCount || !tables_[view->table].has_value()) {
        throw FrameError("view names table " + std::to_string(view->table) + ", which was never sent");
      }
      entries = &*tables_[view->table];
    }
    actions_.clear();
    try {
      Deliver(now, event, *entries);
    } catch (const config::ConfigError&) {
      throw;
    } catch (const std::exception& error) {
      reply_.AppendBroken(event->instance, error.what());
      return;
    }
    for (const policy::Action& action : actions_) reply_.Append(event->instance, action);
  }

  void Deliver(double now, Event* event, const std::vector<policy::Endpoint>& entries) {
    if (auto* up = std::get_if<InstanceStarted>(&event->body)) {
      instances_[event->instance] = std::make_unique<policy::AdmissionPolicy>(
          config::ParseSettings(up->settings), up->seed, now, &actions_);
      return;
    }
    if (std::holds_alternative<InstanceStopped>(event->body)) {
      instances_.erase(event->instance);
      return;
    }
    auto found = instances_.find(event->instance);
    if (found == instances_.end()) return;  // what belongs to an earlier life is passed over
    policy::AdmissionPolicy& admission_policy = *found->second;
    if (auto* view = std::get_if<EndpointView>(&event->body)) {
      admission_policy.OnEndpointUpdate(now, view->kind, entries, &actions_);
    } else if (auto* request = std::get_if<policy::Request>(&event->body)) {
      admission_policy.OnRequest(now, *request, &actions_);
    } else if (auto* outcome = std::get_if<policy::AttemptOutcome>(&event->body)) {
      admission_policy.OnAttemptOutcome(now, *outcome, &actions_);
    } else if (auto* begun = std::get_if<ResponseStarted>(&event->body)) {
      admission_policy.OnResponseStarted(now, begun->request_id, &actions_);
    } else if (auto* gone = std::get_if<ClientGone>(&event->body)) {
      admission_policy.OnClientGone(now, gone->request_id, &actions_);
    } else if (auto* tick = std::get_if<TimerFired>(&event->body)) {
      admission_policy.OnTimer(now, tick->tag, &actions_);
    } else if (auto* count = std::get_if<policy::CounterReply>(&event->body)) {
      admission_policy.OnCounterReply(now, *count, &actions_);
    }
  }

  std::array<std::optional<std::vector<policy::Endpoint>>, kEndpointTableCount> tables_;
  const std::vector<policy::Endpoint> no_entries_{};
  std::map<uint32_t, std::unique_ptr<policy::AdmissionPolicy>> instances_;
  policy::Actions actions_;
  ReplyWriter reply_;
};

}  // namespace
}  // namespace gateway::simulator

int main() {
  try {
    gateway::simulator::Host().Run(stdin, stdout);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "simulator-adapter: %s\n", error.what());
    return 1;
  }
  return 0;
}
