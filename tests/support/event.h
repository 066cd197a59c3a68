// An event on which the threads of a test synchronize.
#ifndef GATEWAY_TESTS_SUPPORT_EVENT_H_
#define GATEWAY_TESTS_SUPPORT_EVENT_H_

#include <chrono>
#include <condition_variable>
#include <mutex>

#include "support/time_limit.h"

namespace gateway::test_support {

// Counts the occurrences of an event. Any thread may report one or wait for them.
class Event {
 public:
  void Add() {
    std::lock_guard lock(mutex_);
    ++count_;
    changed_.notify_all();
  }
  // Waits until the event has occurred `at_least` times. Returns false if that takes more than kWaitTimeoutS.
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
