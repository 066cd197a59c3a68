// api-gateway: runs one gateway with the configuration file that the environment variable LB_CONFIG names.
//
// SIGTERM and SIGINT start a graceful shutdown, and SIGHUP reloads the configuration file. Log lines are
// written to standard error (net/non_blocking_log.h) and consist of the event name and key=value pairs. The
// exit status is 0 after a shutdown. If the gateway cannot start or continue, it writes one error line and
// exits with status 1.
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
                              std::string(kConfigVariable) + " does not name the configuration file");
  }
  return file_name;
}

void LogListening(const config::GatewayConfig& config, const boost::asio::ip::tcp::endpoint& local,
                  net::Log* log) {
  log->Write("gateway_listening name=" + config.name + " address=" + local.address().to_string() + ":" +
             std::to_string(local.port()) + " pid=" + std::to_string(getpid()) + " " +
             net::FormatProcessTimes());
}

// Applies only the addresses of discovery and counter from the new configuration. All other keys that differ
// are listed in the log. An invalid configuration changes nothing.
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

void AwaitShutdownSignal(boost::asio::signal_set* signals, net::Gateway* gateway, net::Log* log) {
  signals->async_wait([=](error_code cancelled, int /*signal*/) {
    if (cancelled) return;
    log->Write("shutdown_started");
    gateway->Shutdown();
  });
}

void AwaitReloadSignals(boost::asio::signal_set* signals, const std::string& file_name, net::Gateway* gateway,
                        net::Log* log) {
  signals->async_wait([=](error_code cancelled, int /*signal*/) {
    if (cancelled) return;
    Reload(file_name, gateway, log);
    AwaitReloadSignals(signals, file_name, gateway, log);
  });
}

// Blocks the gateway's signals from the end of its scope until the process exits. When a signal set is
// destroyed, its signals get their default action back. A signal that arrives after the event loop has ended
// would then terminate the process with a wrong exit status.
class ScopeExitSignalBlocker {
 public:
  ScopeExitSignalBlocker() = default;
  ~ScopeExitSignalBlocker() {
    sigset_t signals;
    sigemptyset(&signals);
    for (int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, signal);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  }
  ScopeExitSignalBlocker(const ScopeExitSignalBlocker&) = delete;
  ScopeExitSignalBlocker& operator=(const ScopeExitSignalBlocker&) = delete;
};

void Run(boost::asio::io_context& io, net::Log* log) {
  std::string file_name = ConfigFileName();
  // Created first, so that a signal during the start is handled after the start and not by its default
  // action.
  boost::asio::signal_set shutdown_signals(io, SIGTERM, SIGINT);
  boost::asio::signal_set reload_signals(io, SIGHUP);
  ScopeExitSignalBlocker signal_blocker;  // declared after the sets, so that it is destroyed before them

  config::GatewayConfig config = config::LoadGatewayConfig(file_name);
  net::Gateway gateway(io, config, log);
  AwaitShutdownSignal(&shutdown_signals, &gateway, log);
  AwaitReloadSignals(&reload_signals, file_name, &gateway, log);
  LogListening(config, gateway.local_endpoint(), log);
  io.run();
}

}  // namespace
}  // namespace gateway

int main() {
  std::signal(SIGPIPE, SIG_IGN);  // a write to a closed connection then fails with an error
  gateway::net::LogDescriptor standard_error(STDERR_FILENO);  // created before other descriptors are opened
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
