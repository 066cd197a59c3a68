// api-gateway: runs one gateway by the configuration file that the environment variable LB_CONFIG names.
//
// SIGTERM and SIGINT begin a graceful shutdown, SIGHUP reads the configuration file again. Log lines go to
// standard error (net/non_blocking_log.h): an event's name, then key=value. The exit status is 0 after a
// shutdown, and 1 with one line of error where the gateway cannot start or go on.
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <string>
#include <utility>

#include "config/config_error.h"
#include "config/gateway_config.h"
#include "net/gateway.h"
#include "net/log_descriptor.h"
#include "net/non_blocking_log.h"
#include "net/process_times.h"

namespace gateway {
namespace {

using boost::system::error_code;

constexpr char kConfigVariable[] = "LB_CONFIG";

std::string ConfigFileName() {
  const char* file_name = std::getenv(kConfigVariable);
  if (file_name == nullptr) {
    throw config::ConfigError(kConfigVariable,
                              std::string(kConfigVariable) + " does not name the configuration");
  }
  return file_name;
}

void LogListening(const config::GatewayConfig& config, const boost::asio::ip::tcp::endpoint& local,
                  net::Log* log) {
  log->Write("gateway_listening name=" + config.name + " address=" + local.address().to_string() + ":" +
             std::to_string(local.port()) + " pid=" + std::to_string(getpid()) + " " +
             net::FormatProcessTimes());
}

// Of a new configuration only the addresses of discovery and counter are applied; what else differs is named
// in the log. One that cannot be used changes nothing.
void Reload(const std::string& file_name, net::Gateway* gateway, net::Log* log) {
  try {
    std::string line = "configuration_reloaded applied=addresses";
    std::string separator = " needs_restart=";
    for (const std::string& key : gateway->Reload(config::LoadGatewayConfig(file_name))) {
      line += std::exchange(separator, ",") + key;
    }
    log->Write(line);
  } catch (const std::exception& error) {
    log->Write("configuration_rejected error=" + net::QuotedLogValue(error.what()));
  }
}

void AwaitShutdown(boost::asio::signal_set* signals, net::Gateway* gateway, net::Log* log) {
  signals->async_wait([=](error_code cancelled, int /*signal*/) {
    if (cancelled) return;
    log->Write("shutdown_started");
    gateway->Shutdown();
  });
}

void AwaitReloads(boost::asio::signal_set* signals, const std::string& file_name, net::Gateway* gateway,
                  net::Log* log) {
  signals->async_wait([=](error_code cancelled, int /*signal*/) {
    if (cancelled) return;
    Reload(file_name, gateway, log);
    AwaitReloads(signals, file_name, gateway, log);
  });
}

// Blocks the gateway's signals at the end of its scope, for the rest of the process. Guards against a signal
// after the event loop: a signal set that is destroyed gives its signals their default action back, which
// would end the process with another status than its own.
class SignalsBlockedFromScopeEnd {
 public:
  SignalsBlockedFromScopeEnd() = default;
  ~SignalsBlockedFromScopeEnd() {
    sigset_t signals;
    sigemptyset(&signals);
    for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  }
  SignalsBlockedFromScopeEnd(const SignalsBlockedFromScopeEnd&) = delete;
  SignalsBlockedFromScopeEnd& operator=(const SignalsBlockedFromScopeEnd&) = delete;
};

void Run(boost::asio::io_context& io, net::Log* log) {
  std::string file_name = ConfigFileName();
  // Before all else, so that a signal during the start is handled after it, not by the default action.
  boost::asio::signal_set shutdown_signals(io, SIGTERM, SIGINT);
  boost::asio::signal_set reload_signals(io, SIGHUP);
  SignalsBlockedFromScopeEnd blocked_at_exit;  // after the sets, so that it ends before them

  config::GatewayConfig config = config::LoadGatewayConfig(file_name);
  net::Gateway gateway(io, config, log);
  AwaitShutdown(&shutdown_signals, &gateway, log);
  AwaitReloads(&reload_signals, file_name, &gateway, log);
  LogListening(config, gateway.local_endpoint(), log);
  io.run();
}

}  // namespace
}  // namespace gateway

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // a write to a closed connection is an error of that write
  gateway::net::LogDescriptor standard_error(STDERR_FILENO);  // before other descriptors are opened
  boost::asio::io_context io(1);
  gateway::net::NonBlockingLog log(io, &standard_error);
  try {
    gateway::Run(io, &log);
  } catch (const std::exception& error) {
    log.Write(std::string("api-gateway: ") + error.what());
    return 1;
  }
  return 0;
}
