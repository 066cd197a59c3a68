#include "net/recent_request_ids.h"

#include <utility>

namespace gateway::net {

void RecentRequestIds::Remember(std::string id, Clock::time_point now) {
  ForgetExpired(now);
  if (entries_.size() == kMaxIds) ForgetOldest();
  auto [position, added] = ids_.insert(std::move(id));
  if (added) entries_.push_back({now + Seconds(kRememberedS), &*position});
}

bool RecentRequestIds::Contains(const std::string& id, Clock::time_point now) {
  ForgetExpired(now);
  return ids_.count(id) != 0;
}

void RecentRequestIds::ForgetExpired(Clock::time_point now) {
  while (!entries_.empty() && entries_.front().remembered_until <= now) ForgetOldest();
}

void RecentRequestIds::ForgetOldest() {
  ids_.erase(ids_.find(*entries_.front().id));
  entries_.pop_front();
}

}  // namespace gateway::net
