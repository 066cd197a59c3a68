// A discovery agent whose endpoint lists the test chooses.
#ifndef GATEWAY_TESTS_SUPPORT_STUB_DISCOVERY_H_
#define GATEWAY_TESTS_SUPPORT_STUB_DISCOVERY_H_

#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "support/event.h"
#include "support/http_message.h"
#include "support/stub_server.h"
#include "support/test_connection.h"

namespace gateway::test_support {

using nlohmann::json;

// Returns the entry of an endpoint in an endpoint list.
inline json EndpointEntry(const std::string& name, int port, const std::string& status = "active") {
  return {{"name", name},  {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", "a"},   {"type", "std"},
          {"group", 0},    {"status", status},
          {"weight", 1.0}, {"since_ms", 0}};
}

// Answers a poll with the full endpoint list, and a watch as soon as the list is newer than the index that
// the watch names.
class StubDiscovery {
 public:
  StubDiscovery()
      : server_([this](TestConnection& connection) {
          for (;;) {
            HttpMessage request = connection.Read();
            if (!request.complete) return;
            size_t after_at = request.head.find("after=");
            long after = after_at == std::string::npos ? -1 : std::atol(request.head.c_str() + after_at + 6);
            std::unique_lock lock(mutex_);
            polls.Add();
            if (after >= 0) watches_[after].Add();
            changed_.wait(lock, [&] { return stopping_ || (!silent_ && index_ > after); });
            if (stopping_) return;
            std::string text = json{{"index", index_},
                                    {"snapshot", watch_gets_full_list_ || after < 0},
                                    {"endpoints", after < 0 ? full_list_ : watch_entries_}}
                                   .dump();
            if (!invalid_body_.empty()) text = std::exchange(invalid_body_, "");
            connection.Write(OkResponse(text));
          }
        }) {}
  ~StubDiscovery() {
    {
      std::lock_guard lock(mutex_);
      stopping_ = true;
      changed_.notify_all();
    }
    server_.Stop();
  }
  // Sets the next list. With `snapshot`, `entries` is the full list. Otherwise watches get `entries` as
  // changes and polls get `full_list`. If `invalid_body` is not empty, the next response has it in place of a
  // list.
  void Set(json entries, bool snapshot = true, const json& full_list = {}, std::string invalid_body = "") {
    std::lock_guard lock(mutex_);
    full_list_ = snapshot ? entries : full_list;
    watch_entries_ = std::move(entries);
    watch_gets_full_list_ = snapshot;
    invalid_body_ = std::move(invalid_body);
    ++index_;
    changed_.notify_all();
  }
  // While silent, polls and watches get no answer.
  void SetSilent(bool silent) {
    std::lock_guard lock(mutex_);
    silent_ = silent;
    changed_.notify_all();
  }
  // Waits until the gateway has applied the list that was set last, that is, until it watches for the next
  // one.
  bool AwaitApplied() {
    std::unique_lock lock(mutex_);
    Event& event = watches_[index_];
    lock.unlock();
    return event.Wait();
  }
  int port() const { return server_.port(); }
  Event polls;  // polls and watches received

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false, silent_ = false, watch_gets_full_list_ = true;
  long index_ = 0;
  json watch_entries_ = json::array(), full_list_ = json::array();
  std::string invalid_body_;
  std::map<long, Event> watches_;
  StubServer server_;
};

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_STUB_DISCOVERY_H_
