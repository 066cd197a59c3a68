// Addresses in their textual form.
#ifndef GATEWAY_CONFIG_ADDRESS_PARSER_H_
#define GATEWAY_CONFIG_ADDRESS_PARSER_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace gateway::config {

// An IP address and a port, as in "10.0.0.4:5000" and "[::1]:5000". Throws ConfigError with the key `path` on
// anything else.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& path, const std::string& text);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_ADDRESS_PARSER_H_
