// The deployment of one soak, drawn from its seed within the operators' protocol.
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
  ClassOptions classes[kRequestClasses];  // by RequestClass
  double drain_grace_s = 0;
  bool hedging = false;
  bool cancellation = false;
  int max_sockets = 0;
  int max_memory_mb = 0;
  int idle_clients = 0;  // that fill a gateway's places when a crowd comes; 0: none comes

  double LongestDeadlineS() const;
  // From SIGTERM to the earliest SIGKILL that the operators allow.
  double KillAfterS() const;
};

// Names of the protocol, by RequestClass.
const char* ClassName(RequestClass request_class);

Deployment DrawDeployment(Random* random);

struct GatewayAddresses {
  std::string name;
  int listen_port = 0;
  int discovery_port = 0;
  int counter_port = 0;
};

// A gateway's configuration file. `known`: the endpoint list as it was last known, in discovery's form.
nlohmann::json MakeConfiguration(const Deployment& deployment, const GatewayAddresses& addresses,
                                 const nlohmann::json& known);

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_DEPLOYMENT_H_
