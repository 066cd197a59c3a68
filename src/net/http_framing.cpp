#include "net/http_framing.h"

#include <algorithm>

namespace gateway::net {

error_code CheckHead(std::string_view bytes, bool* complete) {
  size_t end = bytes.find("\r\n\r\n");
  *complete = end != std::string_view::npos;
  if (std::min(end, bytes.size()) > kMaxHeaderBytes) return http::error::header_limit;
  if (!*complete) return {};
  std::string_view head = bytes.substr(0, end);
  // Each field begins behind the end of a line, as the first line is not one.
  if (std::count(head.begin(), head.end(), '\n') > static_cast<std::ptrdiff_t>(kMaxFields)) {
    return http::error::header_limit;
  }
  for (std::string_view continuation : {"\r\n ", "\r\n\t"}) {
    if (head.find(continuation) != std::string_view::npos) return http::error::bad_obs_fold;
  }
  return {};
}

}  // namespace gateway::net
