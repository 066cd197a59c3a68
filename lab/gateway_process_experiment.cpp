#include "lab/gateway_process_experiment.h"

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/child_process.h"
#include "lab/discovery_stub.h"
#include "lab/fleet_settings.h"
#include "lab/gateway_config_builder.h"

namespace gateway::lab {
namespace {

using boost::asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

constexpr int kGatewayCount = 780;
constexpr double kPlanRateUnitsPerS = 3;
constexpr double kPlanBurstUnits = 12;
constexpr double kOverQuotaPenalty = 0.5;
constexpr double kReadyTimeoutS = 30;
constexpr std::chrono::milliseconds kReadyPollInterval{2};
constexpr size_t kMaxReadyReplyBytes = 4096;

double SecondsSince(SteadyClock::time_point begin) {
  return std::chrono::duration<double>(SteadyClock::now() - begin).count();
}

// Returns a port on loopback that is currently free.
int FindFreePort() {
  boost::asio::io_context io;
  tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return acceptor.local_endpoint().port();
}

// Returns the settings of a simulated fleet's gateway, with a single plan and without a counter.
policy::Settings MakeProcessSettings() {
  FleetOptions fleet;
  fleet.gateways = kGatewayCount;
  fleet.quotas.enabled = false;
  policy::Settings settings = MakeGatewaySettings(fleet);
  policy::PlanSettings plan;
  plan.rate_units_per_s = kPlanRateUnitsPerS;
  plan.burst_units = kPlanBurstUnits;
  plan.over_quota_penalty = kOverQuotaPenalty;
  settings.plans = {plan};
  return settings;
}

// Returns whether the gateway answers GET /-/ready with status 200.
bool IsReady(int port) {
  try {
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)));
    const std::string request = "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string reply;
    boost::system::error_code end;
    boost::asio::read(socket, boost::asio::dynamic_buffer(reply, kMaxReadyReplyBytes), end);
    return reply.rfind("HTTP/1.1 200", 0) == 0;
  } catch (const boost::system::system_error&) {
    return false;
  }
}

void WaitUntilReady(const std::string& program, int port, SteadyClock::time_point begin,
                    ChildProcess* gateway) {
  while (!IsReady(port)) {
    if (!gateway->IsRunning()) throw GatewayProcessError("gateway failed to start: " + program);
    if (SecondsSince(begin) > kReadyTimeoutS) throw GatewayProcessError(program + " was not ready in 30 s");
    std::this_thread::sleep_for(kReadyPollInterval);
  }
}

// Returns the columns of the report.
const std::vector<Column<GatewayProcessRun>>& Columns() {
  using Run = GatewayProcessRun;
  static const std::vector<Column<Run>> kColumns = {
      {"backends", [](const Run& run) { return std::to_string(run.options.backends); }},
      {"changes/s", [](const Run& run) { return FormatDecimal(run.options.changes_per_s); }},
      {"ready s", [](const Run& run) { return FormatDecimal(run.metrics.ready_s, 3); }},
      {"CPU until ready s", [](const Run& run) { return FormatDecimal(run.metrics.startup_processor_s); }},
      {"CPU after, % of a core",
       [](const Run& run) { return FormatDecimal(100 * run.metrics.processor_share); }},
      {"most memory MB", [](const Run& run) { return FormatDecimal(run.metrics.max_resident_mb, 1); }},
      {"whole list kB", [](const Run& run) { return FormatDecimal(run.metrics.full_list_bytes / 1e3, 1); }},
      {"kB/s", [](const Run& run) { return FormatDecimal(run.metrics.discovery_bytes_per_s / 1e3); }},
      {"calls/s", [](const Run& run) { return FormatDecimal(run.metrics.discovery_calls_per_s, 1); }}};
  return kColumns;
}

}  // namespace

GatewayProcessMetrics MeasureGatewayProcess(const GatewayProcessOptions& options) {
  DiscoveryStub discovery(options.backends, options.changes_per_s);
  const std::string full_list = discovery.InitialList();
  GatewayProcessMetrics metrics;
  metrics.full_list_bytes = static_cast<double>(full_list.size());
  int port = FindFreePort();
  const nlohmann::json config = MakeGatewayConfig({port, discovery.port(), full_list, MakeProcessSettings()});

  auto start = SteadyClock::now();
  TemporaryFile config_file(config.dump());
  ChildProcess gateway(options.program, "LB_CONFIG", config_file.path());
  WaitUntilReady(options.program, port, start, &gateway);
  metrics.ready_s = SecondsSince(start);
  metrics.startup_processor_s = gateway.ProcessorSeconds();

  uint64_t bytes = discovery.bytes_sent();
  uint64_t calls = discovery.calls();
  auto ready = SteadyClock::now();
  std::this_thread::sleep_for(std::chrono::duration<double>(options.measured_s));
  double measured_s = SecondsSince(ready);
  metrics.processor_share = (gateway.ProcessorSeconds() - metrics.startup_processor_s) / measured_s;
  metrics.discovery_bytes_per_s = static_cast<double>(discovery.bytes_sent() - bytes) / measured_s;
  metrics.discovery_calls_per_s = static_cast<double>(discovery.calls() - calls) / measured_s;
  metrics.max_resident_mb = gateway.MaxResidentMb();
  if (!gateway.IsRunning()) throw GatewayProcessError(options.program + " exited during the measurement");
  return metrics;
}

Report MakeGatewayProcessReport(const std::vector<GatewayProcessRun>& runs) {
  return MakeReport("One real gateway on loopback", Columns(), runs);
}

}  // namespace gateway::lab
