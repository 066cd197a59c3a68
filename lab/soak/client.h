// A client that sends requests to the gateways of a soak.
#ifndef GATEWAY_LAB_SOAK_CLIENT_H_
#define GATEWAY_LAB_SOAK_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "lab/random.h"
#include "lab/soak/connection.h"
#include "lab/soak/deployment.h"
#include "lab/soak/history.h"
#include "lab/soak/supervised_gateway.h"

namespace gateway::lab::soak {

using Gateways = std::vector<std::unique_ptr<SupervisedGateway>>;

// Sends one request after another from its own thread. Some requests are pipelined, some are sent slowly, and
// some are abandoned before the response. The client reuses its connection as long as it stays open, and
// resends a request once if the gateway closed the connection before reading it. The seed determines all
// random choices.
class Client {
 public:
  struct Options {
    int number = 0;
    uint64_t seed = 0;
    Deployment deployment;
  };

  // `history` and `gateways` have to outlive the client.
  Client(History* history, const Gateways* gateways, const Options& options);
  // Waits for the responses to the requests that were sent.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Stop() { stopping_ = true; }

 private:
  // A request that was sent and not yet answered.
  struct SentRequest {
    size_t record = 0;  // index of the request in History
    std::string id;
    std::string text;
    double timeout_s = 0;
  };

  void Run();
  bool EnsureConnected();
  void SendBatch();
  SentRequest MakeRequest();
  // Waits for the response and records the outcome. Returns false if the connection can no longer be used.
  bool AwaitAnswer(const SentRequest& request);
  void Abandon(const std::vector<SentRequest>& batch);
  void EndRemaining(const std::vector<SentRequest>& rest, RequestOutcome outcome);
  void ResendUnread(const std::vector<SentRequest>& requests);
  RequestOutcome OutcomeOfClosedConnection(ReadResult result) const;

  History* const history_;
  const Gateways& gateways_;
  const Options options_;
  Random random_;
  std::atomic<bool> stopping_{false};
  int gateway_ = 0;
  int kills_at_connect_ = 0;
  uint64_t requests_ = 0;
  std::unique_ptr<Connection> connection_;
  std::thread thread_;
};

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_CLIENT_H_
