// A backend that answers as a test wishes.
#ifndef GATEWAY_TESTS_SUPPORT_STUB_BACKEND_H_
#define GATEWAY_TESTS_SUPPORT_STUB_BACKEND_H_

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "support/event.h"
#include "support/http_message.h"
#include "support/stub_server.h"
#include "support/test_connection.h"

namespace gateway::test_support {

// A backend that records its requests and answers each by `answer(request, connection)`, on the connection's
// thread; an empty answer ends the connection.
class StubBackend {
 public:
  using Response = std::function<std::string(const HttpMessage&, TestConnection&)>;
  explicit StubBackend(Response answer)
      : server_([this, answer = std::move(answer)](TestConnection& connection) {
          for (;;) {
            HttpMessage request = connection.Read();
            if (!request.complete) return;
            {
              std::lock_guard lock(mutex_);
              requests_.push_back(request);
            }
            requests.Add();
            std::string text = answer(request, connection);
            if (text.empty()) return;
            connection.Write(text);
          }
        }) {}
  int port() const { return server_.port(); }
  int connections() const { return server_.connections; }
  HttpMessage request(size_t i) {
    std::lock_guard lock(mutex_);
    return requests_.at(i);
  }
  Event requests;

 private:
  std::mutex mutex_;
  std::vector<HttpMessage> requests_;
  StubServer server_;
};

// Answers every request by the same text.
inline StubBackend::Response RespondsWith(const std::string& text) {
  return [text](const HttpMessage&, TestConnection&) { return text; };
}
// Answers nothing. Reports to `given_up` when the gateway has closed the attempt's connection.
inline StubBackend::Response NeverResponds(Event* given_up) {
  return [given_up](const HttpMessage&, TestConnection& connection) {
    if (connection.AwaitEnd()) given_up->Add();
    return std::string();
  };
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_STUB_BACKEND_H_
