#include "lab/soak/deployment.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace gateway::lab::soak {
namespace {

using nlohmann::json;

// By the operators' protocol, SIGKILL follows SIGTERM no sooner than after the longest deadline, limited to
// kMaxKillDeadlineS, plus kKillGraceS.
constexpr double kMaxKillDeadlineS = 3;
constexpr double kKillGraceS = 0.7;

constexpr double kConnectionIdleS = 4;
constexpr double kConnectTimeoutS = 0.25;
// The memory limit of a gateway bounds its connection slots for clients. The lower limit leaves about thirty
// slots, the higher one far more than the clients need.
constexpr int kFewSlotsMemoryMb = 16;
constexpr int kManySlotsMemoryMb = 64;
constexpr int kClientsPerGateway = 8;
constexpr int kExhaustionClientsPerGateway = 40;  // more than a gateway has connection slots for
constexpr int kExhaustionGateways = 3;
constexpr double kExhaustionShare = 0.4;  // share of the seeds whose deployment exhausts connection slots

const char* EffectName(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kIdempotent: return "free";
    case RequestClass::kIdempotencyKey: return "guarded";
    case RequestClass::kNonIdempotent: return "single_shot";
  }
  return "";
}

template <typename Value>
Value DrawOne(Random* random, std::initializer_list<Value> values) {
  return values.begin()[random->Below(static_cast<int>(values.size()))];
}

json ClassJson(RequestClass request_class, const ClassOptions& options) {
  return {{"name", ClassName(request_class)},
          {"effect", EffectName(request_class)},
          {"aim-s", options.latency_objective_s},
          {"hard-limit-s", options.deadline_s},
          {"window-s", options.deduplication_window_s},
          {"importance", 1.0},
          {"late-share", 0.0},
          {"dedup-scope", "all"},
          {"streamed", false}};
}

// A plan with ample quotas, since the soak does not test quotas.
json PlanJson() {
  return {{"name", "business"},   {"units-per-s", 500.0}, {"store-size", 1000.0}, {"never-over-rate", 0.0},
          {"ceiling-burst", 0.0}, {"cap-slack", 0.0},     {"excess-worth", 0.0},  {"over-cost", 0.8},
          {"value-factor", 1.0},  {"parallel", 0}};
}

json SettingsJson(const Deployment& deployment) {
  json classes = json::array();
  for (int i = 0; i < kRequestClasses; ++i) {
    classes.push_back(ClassJson(static_cast<RequestClass>(i), deployment.classes[i]));
  }
  return {{"me", 0},
          {"peers-total", deployment.gateways},
          {"zone", 0},
          {"zones", {"a"}},
          {"kinds", {"std"}},
          {"resolution-s", 0.002},
          {"discovery", "pushed"},
          {"specifics",
           {{"units-top", 8}, {"may-count", true}, {"counter-timeout-s", 0.03}, {"counter-price", 0.005}}},
          {"prices", {{"cross-zone", 0.02}}},
          {"limits",
           {{"cancel", deployment.cancellation},
            {"parallel-tries", deployment.hedging},
            {"retry-after", true},
            {"max-retry-after-s", 2.0},
            {"try-limit", 4},
            {"conn-idle-s", kConnectionIdleS},
            {"connect-timeout-s", kConnectTimeoutS}}},
          {"invariants",
           {{"cold-from", 0.3},
            {"warm-after-s", 5.0},
            {"tip-multiple", 2.0},
            {"tip-after-s", 1.0},
            {"ask-within-s", 2.0},
            {"drain-grace-s", deployment.drain_grace_s}}},
          {"request-classes", classes},
          {"tiers-of-service", {PlanJson()}}};
}

std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace

const char* ClassName(RequestClass request_class) {
  switch (request_class) {
    case RequestClass::kIdempotent: return "quote";
    case RequestClass::kIdempotencyKey: return "save";
    case RequestClass::kNonIdempotent: return "send";
  }
  return "";
}

double Deployment::LongestDeadlineS() const {
  double longest_s = 0;
  for (const ClassOptions& options : classes) longest_s = std::max(longest_s, options.deadline_s);
  return longest_s;
}

double Deployment::KillAfterS() const {
  return std::min(LongestDeadlineS(), kMaxKillDeadlineS) + kKillGraceS;
}

Deployment DrawDeployment(Random* random) {
  Deployment deployment;
  deployment.gateways = 3 + random->Below(6);
  deployment.backends = 12 + random->Below(13);
  for (ClassOptions& options : deployment.classes) {
    options.latency_objective_s = random->Between(0.4, 1.2);
    options.deadline_s = options.latency_objective_s + random->Between(0.5, 2.5);
    options.deduplication_window_s = random->Between(1, 3);
  }
  deployment.drain_grace_s = DrawOne(random, {0.4, 0.5, 0.8, 2.0});
  deployment.hedging = random->Uniform() < 0.5;
  deployment.cancellation = random->Uniform() < 0.5;
  bool exhausts_connections = random->Uniform() < kExhaustionShare;
  if (exhausts_connections) deployment.gateways = kExhaustionGateways;
  deployment.clients =
      (exhausts_connections ? kExhaustionClientsPerGateway : kClientsPerGateway) * deployment.gateways;
  deployment.max_sockets = DrawOne(random, {256, 512, 1024});
  deployment.max_memory_mb = exhausts_connections ? kFewSlotsMemoryMb : kManySlotsMemoryMb;
  deployment.idle_clients = exhausts_connections ? 40 : 0;
  return deployment;
}

json MakeConfiguration(const Deployment& deployment, const GatewayAddresses& addresses,
                       const json& cached_list) {
  return {{"name", addresses.name},
          {"listen", Loopback(addresses.listen_port)},
          {"discovery", Loopback(addresses.discovery_port)},
          {"counter", Loopback(addresses.counter_port)},
          {"seed", "8c1f30d27a5be964"},
          {"limits",
           {{"cores", 1.0}, {"memory_mb", deployment.max_memory_mb}, {"sockets", deployment.max_sockets}}},
          {"known", cached_list},
          {"settings", SettingsJson(deployment)}};
}

}  // namespace gateway::lab::soak
