// The options of a simulated fleet: its size, its traffic and its faults.
#ifndef GATEWAY_LAB_FLEET_OPTIONS_H_
#define GATEWAY_LAB_FLEET_OPTIONS_H_

#include <cstdint>

#include "lab/backend_model.h"
#include "lab/counter_model.h"

namespace gateway::lab {

struct TenantOptions {
  int count = 150;
  // Each tenant's traffic arrives at a share of the gateways that is drawn between these bounds.
  double min_ingress_share = 0.3;
  double max_ingress_share = 1;
  double ingress_skew = 1;         // skew of a tenant's traffic over its gateways; 0 is even
  double ingress_rotation_s = 12;  // interval at which a tenant's busiest gateways change
};

struct PlanOptions {
  double rate_units_per_s = 0;
  double burst_s = 0;  // burst size in seconds of the rate
};

struct QuotaOptions {
  bool enabled = true;
  // The plans before TenantModel scales them to the fleet's load.
  PlanOptions basic = {2.8, 4.5};
  PlanOptions pro = {19, 2.2};
};

struct TrafficOptions {
  double requests_per_s = 140;  // requests of all clients, excluding retries
  double quiet_s = 0;           // duration of a phase before the measured time, with a tenth of the load
  double measured_s = 20;
  int request_classes = 1;    // the classes differ in their mean work
  double mean_work_s = 0.18;  // service time of a request on one core, before scaling to `utilization`
  double max_cost_units = 6;
  // Share of the backends' capacity that is used by the traffic within the quotas, or by all traffic if
  // quotas are disabled. Work is scaled to reach it; 0 means that work is not scaled.
  double utilization = 0.55;
};

struct NetworkOptions {
  double counter_one_way_s = 0.002;
  double backend_one_way_s = 0.001;
  double connect_s = 0.003;
  double connection_idle_timeout_s = 15;
};

struct DiscoveryOptions {
  double max_lag_s = 1.5;            // a gateway is notified of a restart after a lag from 0 to this
  double late_gateway_share = 0;     // share of the gateways that are notified later still
  double late_additional_lag_s = 0;  // additional lag of those gateways
};

// The restarts of backends, which keep their names and warm up.
struct RestartOptions {
  double backend_share = 0;
  double first_at_s = 5;  // earliest restart, counted from the start of the measured time
  double period_s = 10;   // all restarts happen within this period after `first_at_s`
  int per_backend = 1;
};

// A period in which the counter is silent.
struct CounterOutageOptions {
  double starts_at_s = -1;  // counted from the start of the measured time; negative means never
  double duration_s = 0;
};

// The load at which a warming-up backend collapses.
struct OverloadOptions {
  double multiple = 4;  // load as a multiple of the current capacity
  double window_s = 1;  // how long the load has to last
};

struct FleetOptions {
  int gateways = 3;
  int backends = 12;
  int zones = 3;
  TenantOptions tenants;
  QuotaOptions quotas;
  TrafficOptions traffic;
  BackendOptions backend;
  CounterOptions counter;
  NetworkOptions network;
  DiscoveryOptions discovery;
  RestartOptions restarts;
  CounterOutageOptions counter_outage;
  OverloadOptions overload;
  double timer_resolution_s = 0.001;
  uint64_t seed = 1;
};

}  // namespace gateway::lab

#endif  // GATEWAY_LAB_FLEET_OPTIONS_H_
