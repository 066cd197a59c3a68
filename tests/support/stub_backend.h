// A backend whose responses the test chooses.
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

// Records each request and answers it with the text that `respond(request, connection)` returns. `respond` is
// called on the connection's thread. An empty text closes the connection.
class StubBackend {
 public:
  using Responder = std::function<std::string(const HttpMessage&, TestConnection&)>;
  explicit StubBackend(Responder respond)
      : server_([this, respond = std::move(respond)](TestConnection& connection) {
          for (;;) {
            HttpMessage request = connection.Read();
            if (!request.complete) return;
            {
              std::lock_guard lock(mutex_);
              requests_.push_back(request);
            }
            requests.Add();
            std::string text = respond(request, connection);
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

// Answers every request with the same text.
inline StubBackend::Responder RespondsWith(const std::string& text) {
  return [text](const HttpMessage&, TestConnection&) { return text; };
}
// Answers no request. Adds to `closed` when the gateway has closed the connection of the attempt.
inline StubBackend::Responder NeverResponds(Event* closed) {
  return [closed](const HttpMessage&, TestConnection& connection) {
    if (connection.AwaitEnd()) closed->Add();
    return std::string();
  };
}

}  // namespace gateway::test_support

#endif  // GATEWAY_TESTS_SUPPORT_STUB_BACKEND_H_
