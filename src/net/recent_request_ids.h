// Remembers the ids of requests for a limited time, so that none of them runs a second time.
#ifndef GATEWAY_NET_RECENT_REQUEST_IDS_H_
#define GATEWAY_NET_RECENT_REQUEST_IDS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

#include "net/clock.h"

namespace gateway::net {

// A client's id must be new with every request. If one comes again after its client has left, the backends
// would run its request twice, although the attempts of the first may have been cancelled.
//
// Rule: an id is remembered for kRememberedS after its request has ended, of the last kMaxIds requests.
class RecentRequestIds {
 public:
  static constexpr double kRememberedS = 30;
  static constexpr size_t kMaxIds = 8192;

  // The id must not be remembered already. The times of all calls must not decrease.
  void Remember(std::string id, Clock::time_point now);
  bool Contains(const std::string& id, Clock::time_point now);

 private:
  struct Entry {
    Clock::time_point remembered_until;
    const std::string* id;  // in ids_, whose elements keep their addresses
  };

  void ForgetExpired(Clock::time_point now);
  void ForgetOldest();

  std::unordered_set<std::string> ids_;
  std::deque<Entry> entries_;  // the oldest first
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_RECENT_REQUEST_IDS_H_
