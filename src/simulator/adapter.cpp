#include "simulator/adapter.h"

#include <exception>
#include <utility>
#include <variant>

#include "config/settings_parser.h"
#include "simulator/frame_reader.h"

namespace gateway::simulator {

const std::string& Adapter::HandleBatch(std::string_view frame) {
  EventBatch batch = ParseBatch(frame);
  now_s_ = batch.now_s;
  reply_.Reset();
  for (Event& event : batch.events) HandleEvent(&event);
  return reply_.Finish();
}

void Adapter::HandleEvent(Event* event) {
  actions_.clear();
  try {
    std::visit([&](auto& body) { Handle(event->instance, body); }, event->body);
  } catch (const FrameError&) {
    throw;
  } catch (const config::ConfigError&) {
    throw;
  } catch (const std::exception& error) {
    reply_.AppendFailure(event->instance, error.what());
    return;
  }
  for (const policy::Action& action : actions_) reply_.Append(event->instance, action);
}

void Adapter::Handle(uint32_t instance, const InstanceStarted& started) {
  policies_[instance] = std::make_unique<policy::AdmissionPolicy>(config::ParseSettings(started.settings),
                                                                  started.seed, now_s_, &actions_);
}

void Adapter::Handle(uint32_t instance, const InstanceStopped&) { policies_.erase(instance); }

void Adapter::Handle(uint32_t, EndpointTable& table) { tables_[table.table] = std::move(table.endpoints); }

void Adapter::Handle(uint32_t instance, const EndpointUpdate& update) {
  const std::vector<policy::Endpoint>& endpoints = FindEndpoints(update);
  if (policy::AdmissionPolicy* policy = FindPolicy(instance)) {
    policy->OnEndpointUpdate(now_s_, update.kind, endpoints, &actions_);
  }
}

void Adapter::Handle(uint32_t instance, const policy::Request& request) {
  if (policy::AdmissionPolicy* policy = FindPolicy(instance)) policy->OnRequest(now_s_, request, &actions_);
}

void Adapter::Handle(uint32_t instance, const ResponseStarted& started) {
  if (policy::AdmissionPolicy* policy = FindPolicy(instance)) {
    policy->OnResponseStarted(now_s_, started.request_id, &actions_);
  }
}

void Adapter::Handle(uint32_t instance, const policy::AttemptOutcome& outcome) {
  if (policy::AdmissionPolicy* policy = FindPolicy(instance)) {
    policy->OnAttemptOutcome(now_s_, outcome, &actions_);
  }
}

void Adapter::Handle(uint32_t instance, const ClientGone& gone) {
  if (policy::AdmissionPolicy* policy = FindPolicy(instance)) {
    policy->OnClientGone(now_s_, gone.request_id, &actions_);
  }
}

void Adapter::Handle(uint32_t instance, const TimerFired& timer) {
  if (policy::AdmissionPolicy* policy = FindPolicy(instance)) policy->OnTimer(now_s_, timer.tag, &actions_);
}

void Adapter::Handle(uint32_t, const IgnoredEvent&) {}

void Adapter::Handle(uint32_t instance, const policy::CounterReply& reply) {
  if (policy::AdmissionPolicy* policy = FindPolicy(instance)) {
    policy->OnCounterReply(now_s_, reply, &actions_);
  }
}

policy::AdmissionPolicy* Adapter::FindPolicy(uint32_t instance) {
  auto found = policies_.find(instance);
  return found == policies_.end() ? nullptr : found->second.get();
}

const std::vector<policy::Endpoint>& Adapter::FindEndpoints(const EndpointUpdate& update) const {
  static const std::vector<policy::Endpoint> kNoEndpoints;
  if (update.kind == policy::EndpointUpdateKind::kFailed) return kNoEndpoints;
  if (update.table >= kEndpointTableCount || !tables_[update.table].has_value()) {
    throw FrameError("endpoint update refers to table " + std::to_string(update.table) +
                     ", which was never sent");
  }
  return *tables_[update.table];
}

}  // namespace gateway::simulator
