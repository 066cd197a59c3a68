#include "net/timer_queue.h"

namespace gateway::net {
void TimerQueue::AddRequestDeadline(Clock::time_point due, uint32_t request_id) {
  Add({due, Kind::kRequestDeadline, request_id});
}

void TimerQueue::AddPolicyTimer(Clock::time_point due, uint64_t tag) { Add({due, Kind::kPolicyTimer, tag}); }

void TimerQueue::EnsureWakeUpBy(Clock::time_point due) {
  if (entries_.empty() || due < entries_.top().due) Add({due, Kind::kWakeUp, 0});
}

void TimerQueue::Add(const Entry& entry) {
  entries_.push(entry);
  if (!armed_for_ || entry.due < *armed_for_) Arm();
}

void TimerQueue::Arm() {
  if (entries_.empty()) return;
  armed_for_ = entries_.top().due;
  timer_.expires_at(*armed_for_);
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) RunDueTimers();
  });
}

// Removes all due timers from the queue before the first is handled. A timer that a handler adds for the
// current time waits for the next wake-up, so that handlers that keep adding such timers cannot block the
// event loop.
void TimerQueue::RunDueTimers() {
  handler_->OnTimersDue();
  auto now = Clock::now();
  armed_for_.reset();
  std::vector<Entry> due;
  while (!entries_.empty() && entries_.top().due <= now) {
    due.push_back(entries_.top());
    entries_.pop();
  }
  for (const Entry& entry : due) {
    switch (entry.kind) {
      case Kind::kRequestDeadline: handler_->OnRequestDeadline(static_cast<uint32_t>(entry.tag)); break;
      case Kind::kPolicyTimer: handler_->OnPolicyTimer(entry.tag); break;
      case Kind::kWakeUp: break;
    }
  }
  if (!armed_for_) Arm();
  handler_->OnTimersHandled();
}

}  // namespace gateway::net
