// Runs deployments of real gateway processes on loopback, injects failures at times that depend on a seed,
// and checks the operators' rules for every request.
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
  std::string program;  // path of the gateway's executable
  uint64_t first_seed = 1;
  int seeds = 1;
  double duration_s = 20;
  int jobs = 1;               // number of seeds that run at the same time
  std::string log_directory;  // directory for the gateways' logs, which are discarded if it is empty
};

struct SoakResult {
  uint64_t seed = 0;
  Deployment deployment;
  HistoryData history;
  std::vector<Violation> violations;
};

// Runs the soak of one seed. The schedule is the same in each run, but the timing of sockets and threads is
// not. Throws std::runtime_error if the machine has no free port or cannot create a file.
SoakResult RunSoak(const SoakOptions& options, uint64_t seed);

// Runs the seeds, `jobs` at a time, until all have run or `stopped` returns true. Calls `on_result` at the
// end of each seed; the calls do not overlap.
void RunSoaks(const SoakOptions& options, const std::function<bool()>& stopped,
              const std::function<void(const SoakResult&)>& on_result);

// Returns a summary of a soak in one line.
std::string Summarize(const SoakResult& result);
// Returns a violation with the history of its request, the events around it, and the command that repeats the
// run of its seed.
std::string DescribeViolation(const SoakOptions& options, const SoakResult& result,
                              const Violation& violation);
// Returns the results and their violations as JSON, for scripts.
std::string ToJson(const std::vector<SoakResult>& results);

}  // namespace gateway::lab::soak

#endif  // GATEWAY_LAB_SOAK_SOAK_H_
