// What a simulated fleet consists of and what happens to it.
#ifndef GATEWAY_LAB_FLEET_OPTIONS_H_
#define GATEWAY_LAB_FLEET_OPTIONS_H_

#include <cstdint>

#include "lab/backend_model.h"
#include "lab/counter_model.h"

namespace gateway::lab {

struct TenantOptions {
  int count = 150;
  // Each tenant's traffic enters through a share of the gateways, drawn between these two.
  double min_ingress_share = 0.3;
  double max_ingress_share = 1;
  double ingress_skew = 1;         // of a tenant's traffic over its gateways; 0: even
  double ingress_rotation_s = 12;  // after which a tenant's busiest gateways change
};

struct PlanOptions {
  double rate_units_per_s = 0;
  double burst_s = 0;  // a full bucket, in seconds of the rate
};

struct QuotaOptions {
  bool enabled = true;
  // Before they are scaled to the fleet's load (TenantModel).
  PlanOptions basic = {2.8, 4.5};
  PlanOptions pro = {19, 2.2};
};

struct TrafficOptions {
  double requests_per_s = 140;  // of all clients, without their retries
  double quiet_s = 0;           // of a tenth of that load, before the measured time
  double measured_s = 20;
  int request_classes = 1;    // which differ in their mean work
  double mean_work_s = 0.18;  // of a request, on one core; scaled to `utilization`
  double max_cost_units = 6;
  // Share of the backends' capacity that the traffic within the quotas takes (all traffic, where quotas are
  // off). 0: work is not scaled.
  double utilization = 0.55;
};

struct NetworkOptions {
  double counter_one_way_s = 0.002;
  double backend_one_way_s = 0.001;
  double connect_s = 0.003;
  double connection_idle_timeout_s = 15;
};

struct DiscoveryOptions {
  double max_lag_s = 1.5;         // until a gateway is notified of a restart: between 0 and this
  double late_gateway_share = 0;  // gateways that are notified `late_s` later than that
  double late_s = 0;
};

// Backends that restart under the same name and warm up.
struct RestartOptions {
  double backend_share = 0;
  double first_s = 5;  // of the measured time
  double within_s = 10;
  int per_backend = 1;
};

// When the counter is silent.
struct CounterOutageOptions {
  double start_s = -1;  // of the measured time; below 0: never
  double duration_s = 0;
};

// The load at which a warming-up backend collapses.
struct OverloadOptions {
  double multiple = 4;  // of its present capacity
  double window_s = 1;  // for which it has to last
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
