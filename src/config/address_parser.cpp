#include "config/address_parser.h"

#include <charconv>
#include <cstdint>
#include <system_error>

#include "config/config_error.h"

namespace gateway::config {

boost::asio::ip::tcp::endpoint ParseAddress(const std::string& path, const std::string& text) {
  size_t colon = text.rfind(':');
  if (colon == std::string::npos) throw ConfigError::Unreadable(path, text);

  std::string host = text.substr(0, colon);
  bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  boost::system::error_code address_error;
  auto address = boost::asio::ip::make_address(host, address_error);

  uint16_t port = 0;
  const char* text_end = text.data() + text.size();
  auto [end, port_error] = std::from_chars(text.data() + colon + 1, text_end, port);
  if (address_error || port_error != std::errc() || end != text_end) {
    throw ConfigError::Unreadable(path, text);
  }
  return {address, port};
}

}  // namespace gateway::config
