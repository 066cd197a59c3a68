// Framing of HTTP/1.1 requests and responses: limits on size, and rejection of messages whose framing two
// parsers could interpret differently.
#ifndef GATEWAY_NET_HTTP_FRAMING_H_
#define GATEWAY_NET_HTTP_FRAMING_H_

#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <iterator>
#include <string_view>

#include "net/http_headers.h"
#include "net/socket_util.h"

namespace gateway::net {

inline constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
// The limit for the start line and the fields of a message, and for the framing of one chunk.
inline constexpr size_t kMaxHeaderBytes = size_t{16} * 1024;
// The limit for the fields of a message, trailers included. A parsed field takes many times the memory of its
// shortest line.
inline constexpr size_t kMaxFields = 100;
inline constexpr size_t kMaxEmptyLineBytes = 64;  // before a request

// Returns the limit for a body with its framing (chunk sizes, extensions, line ends and trailers). A chunk of
// one byte needs five bytes of framing.
inline constexpr size_t kMaxFramingBytesPerBodyByte = 16;
constexpr size_t MaxEncodedBodyBytes(size_t body_bytes) {
  return kMaxHeaderBytes + (1 + kMaxFramingBytesPerBodyByte) * body_bytes;
}

// Whether the length of a message is unambiguous (RFC 9112, 6.3): the message has one Content-Length with one
// value, chunked coding alone, or neither. Guards against request smuggling, where a second message is hidden
// in the body of the first and another parser on the path uses the other of two lengths.
template <typename Fields>
bool HasUnambiguousFraming(const Fields& message) {
  size_t lengths = message.count(http::field::content_length);
  size_t codings = message.count(http::field::transfer_encoding);
  if (codings == 0) {
    return lengths == 0 || (lengths == 1 && ToStringView(message[http::field::content_length]).find(',') ==
                                                std::string_view::npos);
  }
  return codings == 1 && lengths == 0 && message.version() == 11 &&
         boost::beast::iequals(message[http::field::transfer_encoding], "chunked");
}

// Whether a parsed message has more than kMaxFields fields. Trailers count, since the parser adds them to the
// fields of the head.
template <typename Fields>
bool HasTooManyFields(const Fields& message) {
  return std::distance(message.begin(), message.end()) > static_cast<std::ptrdiff_t>(kMaxFields);
}

// Checks the first bytes of a message before it is parsed. Sets `*complete` to whether they contain the whole
// head. Returns header_limit for a head longer than kMaxHeaderBytes or with more than kMaxFields fields, and
// bad_obs_fold for a line that continues the preceding line (RFC 9112, 5.2).
error_code CheckHead(std::string_view bytes, bool* complete);

}  // namespace gateway::net

#endif  // GATEWAY_NET_HTTP_FRAMING_H_
