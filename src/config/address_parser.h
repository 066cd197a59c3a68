// Parsing of socket addresses.
#ifndef GATEWAY_CONFIG_ADDRESS_PARSER_H_
#define GATEWAY_CONFIG_ADDRESS_PARSER_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace gateway::config {

// Parses an IP address and a port, as in "10.0.0.4:5000" or "[::1]:5000". Throws ConfigError with the key
// `path` if `text` has any other form.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& path, const std::string& text);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_ADDRESS_PARSER_H_
