// A hollow backend: cores that serve one request each in turn, cold after a start, and a table of
// connections.
#ifndef GATEWAY_LAB_BACKEND_H_
#define GATEWAY_LAB_BACKEND_H_

#include <cstddef>
#include <cstdint>
#include <vector>

namespace gateway::lab {

struct BackendSpec {
  int cores = 3;
  double cold_from = 0.17;   // share of its capacity at its start
  double warm_after_s = 17;  // until it is warm, evenly
  double most_wait_s = 2;    // a request that would wait longer is turned away
};

class HollowBackend {
 public:
  HollowBackend(const BackendSpec& spec, double started_s)
      : spec_(spec), started_s_(started_s), free_at_(static_cast<size_t>(spec.cores), 0) {}

  // Share of its capacity that it has at `now_s`.
  double Fraction(double now_s) const;
  // When a request of `work_s` (on a warm core) that comes at `now_s` is done; below 0: turned away.
  double Serve(double now_s, double work_s);

  void Connected(int change) {
    connections_ += change;
    if (connections_ > most_connections_) most_connections_ = connections_;
  }
  int connections() const { return connections_; }
  int most_connections() const { return most_connections_; }
  double work_s() const { return work_s_; }
  double started_s() const { return started_s_; }
  int cores() const { return spec_.cores; }

 private:
  BackendSpec spec_;
  double started_s_;
  std::vector<double> free_at_;
  int connections_ = 0, most_connections_ = 0;
  double work_s_ = 0;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_BACKEND_H_
