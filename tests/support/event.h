// An event that the threads of a test wait for.
#ifndef GATEWAY_TESTS_SUPPORT_EVENT_H_
#define GATEWAY_TESTS_SUPPORT_EVENT_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

#include "support/time_limit.h"

namespace gateway::test_support {

// A count of occurrences that one thread reports and another waits for.
class Event {
 public:
  void Add() {
    std::lock_guard lock(mutex_);
    ++count_;
    changed_.notify_all();
  }
  // Waits until there have been so many. False if they have not come within the limit.
  bool Wait(int at_least = 1) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, std::chrono::seconds(kWaitTimeoutS), [&] { return count_ >= at_least; });
  }
  int count() {
    std::lock_guard lock(mutex_);
    return count_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  int count_ = 0;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_EVENT_H_
