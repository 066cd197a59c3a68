#include "net/request_end_check.h"

#include <algorithm>
#include <array>

#include "net/http_framing.h"

namespace gateway::net {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

constexpr std::array<std::string_view, 9> kMethods = {"GET ",     "HEAD ",    "POST ",  "PUT ",  "DELETE ",
                                                      "CONNECT ", "OPTIONS ", "TRACE ", "PATCH "};
constexpr std::array<std::string_view, 2> kVersions = {" HTTP/1.1", " HTTP/1.0"};

// Whether the bytes are the beginning of a method (RFC 9110, 9.3, and PATCH) and the space behind it, as far
// as they go.
bool MayBeginWithMethod(std::string_view bytes) {
  return std::any_of(kMethods.begin(), kMethods.end(), [bytes](std::string_view method) {
    size_t compared = std::min(bytes.size(), method.size());
    return bytes.substr(0, compared) == method.substr(0, compared);
  });
}

// Whether a line that begins with a method and a space is a request line: a target and a version follow.
bool IsRequestLine(std::string_view line) {
  std::string_view target = line.substr(line.find(' ') + 1);
  bool has_version = std::any_of(kVersions.begin(), kVersions.end(), [&target](std::string_view version) {
    if (target.size() < version.size() || target.substr(target.size() - version.size()) != version) {
      return false;
    }
    target.remove_suffix(version.size());
    return true;
  });
  bool is_visible = std::all_of(target.begin(), target.end(), [](char c) { return c > ' ' && c < '\x7f'; });
  return has_version && !target.empty() && is_visible;
}

// Returns the bytes behind the empty lines at the beginning, each of which is a CRLF.
std::string_view SkipEmptyLines(std::string_view bytes) {
  while (bytes.substr(0, kLineEnd.size()) == kLineEnd) bytes.remove_prefix(kLineEnd.size());
  return bytes;
}

}  // namespace

RequestEnd CheckRequestEnd(std::string_view following) {
  size_t begin = std::min(following.find_first_not_of(kLineEnd), following.size());
  if (begin > kMaxEmptyLineBytes) return RequestEnd::kDoubtful;
  // Other line ends may stand before a request too, but a body that is cut off may end with them.
  std::string_view unexplained = SkipEmptyLines(following);
  if (unexplained.empty() || unexplained == "\r") return RequestEnd::kTrusted;
  std::string_view next = following.substr(begin);
  if (!MayBeginWithMethod(next)) return RequestEnd::kDoubtful;
  size_t line_bytes = next.find(kLineEnd);
  if (std::min(line_bytes, next.size()) > kMaxHeaderBytes) return RequestEnd::kDoubtful;
  if (line_bytes == std::string_view::npos) return RequestEnd::kUndecided;
  return IsRequestLine(next.substr(0, line_bytes)) ? RequestEnd::kTrusted : RequestEnd::kDoubtful;
}

}  // namespace gateway::net
