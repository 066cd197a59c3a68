// A client in a soak.
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

// Sends one request after another on a connection that it keeps, on a thread of its own: some pipelined, some
// written slowly, some left before their answer. It goes on using its connection for as long as that stays
// open, and sends a request that the gateway's closing crossed once more. The seed decides what it does.
class Client {
 public:
  struct Options {
    int number = 0;
    uint64_t seed = 0;
    Deployment deployment;
  };

  // The pointers outlive the client.
  Client(History* history, const Gateways* gateways, const Options& options);
  // Waits for the answer to what was sent.
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  void Stop() { stopping_ = true; }

 private:
  // A request that was sent and not answered yet.
  struct Sent {
    size_t record = 0;  // of History
    std::string id;
    std::string text;
    double timeout_s = 0;
  };

  void Run();
  bool EnsureConnected();
  void SendBatch();
  Sent MakeRequest();
  // Returns false where the connection has ended.
  bool AwaitAnswer(const Sent& request);
  void Leave(const std::vector<Sent>& batch);
  void EndRest(const std::vector<Sent>& rest, RequestEnd end);
  void SendAgain(const std::vector<Sent>& requests);
  RequestEnd EndOfConnection(ReadResult result) const;

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
