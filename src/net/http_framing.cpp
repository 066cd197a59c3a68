#include "net/http_framing.h"

#include <algorithm>
#include <array>

namespace gateway::net {
namespace {

constexpr std::array<std::string_view, 9> kMethods = {"GET ",     "HEAD ",    "POST ",  "PUT ",  "DELETE ",
                                                      "CONNECT ", "OPTIONS ", "TRACE ", "PATCH "};

}  // namespace

error_code CheckHead(std::string_view bytes, bool* complete) {
  size_t end = bytes.find("\r\n\r\n");
  *complete = end != std::string_view::npos;
  if (std::min(end, bytes.size()) > kMaxHeaderBytes) return http::error::header_limit;
  if (!*complete) return {};
  std::string_view head = bytes.substr(0, end);
  for (std::string_view continuation : {"\r\n ", "\r\n\t"}) {
    if (head.find(continuation) != std::string_view::npos) return http::error::bad_obs_fold;
  }
  return {};
}

bool MayBeginRequest(std::string_view bytes) {
  size_t begin = bytes.find_first_not_of("\r\n");
  if (begin == std::string_view::npos) return true;
  std::string_view request = bytes.substr(begin);
  return std::any_of(kMethods.begin(), kMethods.end(), [request](std::string_view method) {
    size_t compared = std::min(request.size(), method.size());
    return request.substr(0, compared) == method.substr(0, compared);
  });
}

}  // namespace gateway::net
