// The deployment of one soak, which is drawn from the seed within the limits of the operators' protocol.
#ifndef GATEWAY_LAB_SOAK_DEPLOYMENT_H_
#define GATEWAY_LAB_SOAK_DEPLOYMENT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "lab/random.h"
#include "lab/soak/history.h"

namespace gateway::lab::soak {

struct ClassOptions {
  double latency_objective_s = 0;
  double deadline_s = 0;
  double deduplication_window_s = 0;
};

struct Deployment {
  int gateways = 0;
  int backends = 0;
  int clients = 0;
  ClassOptions classes[kRequestClasses];  // indexed by RequestClass
  double drain_grace_s = 0;
  bool hedging = false;
  bool cancellation = false;
  int max_sockets = 0;
  int max_memory_mb = 0;
  // Number of idle connections with which the event kExhaustConnections uses up a gateway's connection slots.
  // With 0 there is no such event.
  int idle_clients = 0;

  double LongestDeadlineS() const;
  // Returns the time from SIGTERM to the earliest SIGKILL that the operators allow.
  double KillAfterS() const;
};

// Returns the name of a request class in the protocol.
const char* ClassName(RequestClass request_class);

Deployment DrawDeployment(Random* random);

struct GatewayAddresses {
  std::string name;
  int listen_port = 0;
  int discovery_port = 0;
  int counter_port = 0;
};

// Returns the content of a gateway's configuration file. `cached_list` is the last known endpoint list in the
// format of discovery.
nlohmann::json MakeConfiguration(const Deployment& deployment, const GatewayAddresses& addresses,
                                 const nlohmann::json& cached_list);

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_DEPLOYMENT_H_
