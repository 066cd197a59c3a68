// Tests a gateway whose backends send responses that never end, in an event loop that the test runs. Whenever
// a timer of a request looks, there are unread bytes, which may complete the response (review case 9).
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "config/gateway_config.h"
#include "net/gateway.h"
#include "support/client_request.h"
#include "support/event_loop.h"
#include "support/flooding_peer.h"
#include "support/gateway_config_json.h"
#include "support/manual_listener.h"
#include "support/recording_log.h"
#include "support/stub_discovery.h"
#include "support/stub_server.h"

namespace gateway::net {
namespace {

using namespace test_support;

// A gateway with two backends. One of them has received the request of a client and has begun a response that
// never ends. Discovery and the counter cannot be reached.
class FloodedGateway : public EventLoop {
 public:
  FloodedGateway(const json& settings, const std::string& request, EndlessMessage response)
      : config_(Config(settings)), gateway_(io, config_, &log_), response_(std::move(response)) {
    client_ = TestConnection::ConnectTo(gateway_.local_endpoint().port());
    client_->Write(request);
    RunUntil([this] { return one_.HasPending() || other_.HasPending(); });
    silent_backend_ = one_.HasPending() ? &other_ : &one_;
    backend_ = (one_.HasPending() ? one_ : other_).Accept();
    RunUntil([this] { return backend_->IsReadable(); });
    backend_->Write(response_.begin);
  }

  const char* form() const { return response_.form; }
  TestConnection& client() { return *client_; }

  // Whether the other backend, which has received no request, is connected to.
  bool HasConnectedToOtherBackend() const { return silent_backend_->HasPending(); }

  // Writes a part of the response and then runs at most one handler.
  void Step() {
    backend_->Write(response_.rest);
    io.restart();
    io.run_one_for(std::chrono::milliseconds(1));
  }

 private:
  config::GatewayConfig Config(const json& settings) const {
    json endpoints = {EndpointEntry("s1", one_.port()), EndpointEntry("s2", other_.port())};
    json config = ConfigJson(UnusedPort(), UnusedPort(), endpoints);
    config["settings"] = settings;
    return config::ParseGatewayConfig(config.dump());
  }

  ManualListener one_, other_;
  RecordingLog log_;
  const config::GatewayConfig config_;
  Gateway gateway_;
  const EndlessMessage response_;
  ManualListener* silent_backend_ = nullptr;
  std::unique_ptr<TestConnection> client_, backend_;
};

// The time of a request is over. If unread bytes put off its deadline, its policy's timer or the timeout of
// its attempt for as long as there are any, its client gets no final response.
TEST(GatewayUnreadBytes, AnswersARequestWhoseBackendFillsItsSocketForEver) {
  constexpr int kTimeoutMs = 2000;
  constexpr int kMaxSteps = 500;  // far fewer than it takes to reach a limit on the response
  std::vector<std::unique_ptr<FloodedGateway>> gateways;
  for (const EndlessMessage& response : EndlessResponses()) {
    std::string request = MakeRequest("send-lead", 1, kTimeoutMs);
    gateways.push_back(std::make_unique<FloodedGateway>(SettingsJson(), request, response));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(kTimeoutMs));
  for (auto& gateway : gateways) {
    for (int i = 0; i < kMaxSteps && !gateway->client().IsReadable(); ++i) gateway->Step();
    EXPECT_TRUE(gateway->client().IsReadable()) << gateway->form();
    if (gateway->client().IsReadable()) {
      EXPECT_EQ(gateway->client().Read().status(), 502) << gateway->form();
    }
  }
}

// A backend has answered no request for so long that the policy gives up the attempt and sends the request to
// another backend. If unread bytes put off the policy's timer for as long as there are any, the request waits
// for the first backend until its time is over.
TEST(GatewayUnreadBytes, RetriesARequestWhoseBackendFillsItsSocketForEver) {
  constexpr auto kMaxTime = std::chrono::seconds(5);     // far more than until the policy's timer is due
  constexpr auto kPause = std::chrono::milliseconds(1);  // keeps the response below its limits in that time
  json settings = SettingsJson();
  for (json& request_class : settings["request-classes"]) {
    request_class["aim-s"] = 0.2;
    request_class["hard-limit-s"] = 60.0;
  }
  for (const EndlessMessage& response : EndlessResponses()) {
    FloodedGateway gateway(settings, MakeRequest("quote", 1, 60000), response);
    auto end = std::chrono::steady_clock::now() + kMaxTime;
    while (!gateway.HasConnectedToOtherBackend() && std::chrono::steady_clock::now() < end) {
      gateway.Step();
      std::this_thread::sleep_for(kPause);
    }
    EXPECT_TRUE(gateway.HasConnectedToOtherBackend()) << gateway.form();
  }
}

}  // namespace
}  // namespace gateway::net
