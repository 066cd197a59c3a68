// One real gateway process on loopback before a hollow discovery: what a list and its changes cost it.
#ifndef GATEWAY_LAB_CONTROL_H_
#define GATEWAY_LAB_CONTROL_H_

#include <string>

namespace gateway::lab {

struct ControlSpec {
  std::string gateway;  // the program
  int backends = 20;
  double changes_per_s = 0;  // of one backend each, told to a watch
  double seconds = 4;        // after it is ready
};

struct ControlCount {
  double ready_s = 0;      // from its start to the first 200 of GET /-/ready
  double start_cpu_s = 0;  // processor time until then
  double cpu_share = 0;    // of a core, after that
  double resident_mb = 0;  // the most
  double list_bytes = 0;   // of the whole list
  double bytes_per_s = 0;  // from discovery, after the start
  double calls_per_s = 0;  // to discovery
};

// Throws std::runtime_error, in plain words, where the program can't be started or is not ready in 30 s.
ControlCount RunControl(const ControlSpec& spec);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_CONTROL_H_
