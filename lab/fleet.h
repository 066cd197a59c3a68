// A whole fleet in simulated time: real decision modules, hollow everything else. Counts what all do
// together.
#ifndef GATEWAY_LAB_FLEET_H_
#define GATEWAY_LAB_FLEET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "lab/counter.h"
#include "lab/histogram.h"
#include "policy/admission_policy.h"

namespace gateway::lab {

struct FleetSpec {
  int gateways = 3, backends = 12, zones = 3, tenants = 150;
  int classes = 1;                   // services whose requests differ in their mean work
  double requests_per_s = 140;       // first tries of all clients, before `burst`
  double seconds = 20, quiet_s = 0;  // measured time, and a time of a tenth of the load before it
  int cores = 3;                     // of a backend
  double work_s = 0.18;              // mean of a request of one class on one core
  double most_units = 6;
  double spread_low = 0.3, spread_high = 1;  // share of the gateways that a tenant comes in through
  double skew = 1;                           // of a tenant's traffic over its gateways: 0 even
  double shift_s = 12;                       // after which its busiest gateways change
  double basic_rate = 2.8, basic_burst_s = 4.5, pro_rate = 19, pro_burst_s = 2.2;
  double inside_share = 0.55;  // of the backends' capacity that use inside the quotas comes to; 0: as is
  CounterSpec counter;
  double counter_way_s = 0.002, backend_way_s = 0.001;  // one way
  double lag_s = 1.5, late_share = 0, late_s = 0;  // discovery; share of gateways that learn `late_s` later
  double replaced_share = 0, replaced_at_s = 5, replaced_within_s = 10;  // backends that are replaced, cold
  int restarts = 1;  // times that each of them starts anew, under the same name
  double counter_silent_at_s = -1, counter_silent_s = 0;
  double cold_from = 0.17, warm_after_s = 17, tip_multiple = 4, tip_after_s = 1;
  double connect_s = 0.003, conn_idle_s = 15;
  bool quotas = true;
  double resolution_s = 0.001;
  uint64_t seed = 1;
};

// The worst window of a cold backend: work sent, in requests of mean work, over N + 2 sqrt(N) + 2, where N is
// what the settings allow it in that window (STANDING).
struct ColdWindow {
  double ratio = 0;       // of all that was sent
  double told_ratio = 0;  // of what was sent by gateways that had been told of the start
  double most_told = 0;   // the most of that in any window
  double sent = 0, allowed = 0;
  bool Broken() const { return ratio > 1 && told_ratio > ratio * 2 / 3; }
};

struct FleetCount {
  uint64_t first_tries = 0, tries = 0, sent = 0, served = 0, in_time = 0, refused = 0, failed = 0;
  uint64_t refused_with_room = 0;
  double units_sent = 0, units_beyond = 0;
  // Worth is units times the plan's price: of the first tries that one gateway which saw all would let in; of
  // what was inside its quota when sent and served in time; and the price of what was sent beyond a quota.
  double worth_offered = 0, worth_in_time = 0, worth_over = 0;
  double Value() const { return worth_offered > 0 ? (worth_in_time - worth_over) / worth_offered : 0; }
  uint64_t calls = 0, calls_late = 0, calls_busy = 0, held = 0;
  uint64_t connections = 0, reused = 0, attempts = 0;
  double connections_mean = 0, connections_most = 0, imbalance = 0;
  double list_bytes = 0;
  double decision_us = 0;  // processor time of all modules, for each try
  Histogram added_s;       // from a try's arrival to its first attempt
  Histogram served_s;
  ColdWindow cold;
};

FleetCount RunFleet(const FleetSpec& spec);

// The settings that each gateway of such a fleet is given.
policy::Settings FleetSettings(const FleetSpec& spec);

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_H_
