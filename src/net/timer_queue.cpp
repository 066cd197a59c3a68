#include "net/timer_queue.h"

#include <algorithm>
#include <functional>

namespace gateway::net {

void TimerQueue::AddRequestDeadline(Clock::time_point due, uint32_t request_id) {
  Add({due, Kind::kRequestDeadline, request_id});
}

void TimerQueue::AddPolicyTimer(Clock::time_point due, uint64_t tag) { Add({due, Kind::kPolicyTimer, tag}); }

void TimerQueue::EnsureWakeUpBy(Clock::time_point due) {
  if (entries_.empty() || due < entries_.front().due) Add({due, Kind::kWakeUp, 0});
}

void TimerQueue::Add(const Entry& entry) {
  if (entries_.size() >= compact_above_) Compact();
  entries_.push_back(entry);
  std::push_heap(entries_.begin(), entries_.end(), std::greater<>());
  if (!armed_for_ || entry.due < *armed_for_) Arm();
}

// Drops the deadlines that no longer matter. Runs once for as many additions as entries remain, so that its
// cost for each of them is constant.
void TimerQueue::Compact() {
  std::erase_if(entries_, [this](const Entry& entry) {
    return entry.kind == Kind::kRequestDeadline &&
           !handler_->IsAwaitingDeadline(static_cast<uint32_t>(entry.tag));
  });
  std::make_heap(entries_.begin(), entries_.end(), std::greater<>());
  compact_above_ = std::max(kMinSizeToCompact, 2 * entries_.size());
}

TimerQueue::Entry TimerQueue::PopEarliest() {
  std::pop_heap(entries_.begin(), entries_.end(), std::greater<>());
  Entry earliest = entries_.back();
  entries_.pop_back();
  return earliest;
}

void TimerQueue::Arm() {
  if (entries_.empty()) return;
  armed_for_ = entries_.front().due;
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
  while (!entries_.empty() && entries_.front().due <= now) due.push_back(PopEarliest());
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
