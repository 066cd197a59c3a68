// Plays deployments of real gateway processes on loopback, with failures at moments that a seed chooses, and
// checks the operators' rules for every request.
#ifndef GATEWAY_LAB_SOAK_SOAK_H_
#define GATEWAY_LAB_SOAK_SOAK_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lab/soak/checks.h"
#include "lab/soak/deployment.h"

namespace gateway::lab::soak {

struct SoakOptions {
  std::string program;  // path of the gateway
  uint64_t first_seed = 1;
  int seeds = 1;
  double duration_s = 20;
  int jobs = 1;               // seeds that are played at the same time
  std::string log_directory;  // of the gateways' logs; empty: they are dropped
};

struct SoakResult {
  uint64_t seed = 0;
  Deployment deployment;
  HistoryData history;
  std::vector<Violation> violations;
};

// Plays one seed. The schedule is the same each time; what real sockets and threads add is not. Throws
// std::runtime_error where the machine has no port or file left.
SoakResult RunSoak(const SoakOptions& options, uint64_t seed);

// Plays the seeds, `jobs` at a time, until all are played or `stopped` says so. `on_result` is called for
// each as it ends, from one thread at a time.
void RunSoaks(const SoakOptions& options, const std::function<bool()>& stopped,
              const std::function<void(const SoakResult&)>& on_result);

// One line on what was played.
std::string Summarize(const SoakResult& result);
// A break with the history of its request, the events around it, and the command that plays its seed again.
std::string DescribeViolation(const SoakOptions& options, const SoakResult& result,
                              const Violation& violation);
// Both of these for scripts, as JSON.
std::string ToJson(const std::vector<SoakResult>& results);

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_SOAK_H_
