// Framing of HTTP/1.1 requests and responses: incremental parsing with limits on size, and rejection of
// messages whose framing two parsers could interpret differently.
#ifndef GATEWAY_NET_HTTP_FRAMING_H_
#define GATEWAY_NET_HTTP_FRAMING_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

#include "net/http_headers.h"
#include "net/socket_util.h"

namespace gateway::net {

inline constexpr size_t kMaxBodyBytes = size_t{64} * 1024;
// The limit for the start line and the fields of a message, and for the framing of one chunk.
inline constexpr size_t kMaxHeaderBytes = size_t{16} * 1024;
inline constexpr size_t kMaxEmptyLineBytes = 64;  // before a request

// Replaces the parser with a new one for the next message, which is limited to kMaxHeaderBytes and
// `max_body_bytes`.
template <typename Parser>
void ResetParser(std::optional<Parser>* parser, size_t max_body_bytes) {
  parser->emplace();
  (*parser)->header_limit(kMaxHeaderBytes);
  (*parser)->body_limit(max_body_bytes);
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

// Checks the first bytes of a message before it is parsed. Sets `*complete` to whether they contain the whole
// head. Returns header_limit for a head longer than kMaxHeaderBytes, and bad_obs_fold for a line that
// continues the preceding line (RFC 9112, 5.2).
error_code CheckHead(std::string_view bytes, bool* complete);

// Passes the buffered bytes to the parser and removes what it consumes from the buffer. Without an error the
// message is complete (parser.is_done()) or more bytes are needed. After an error the framing of the rest of
// the connection is unknown.
//
// A head is parsed only when it is complete, so that it can be checked first, and only a body may exceed
// kMaxHeaderBytes. The parser must not be set to eager: Beast 1.74 would then continue with a body that
// exceeds its limit if bytes of it arrive together with the head, and would reserve memory for its whole
// length.
template <typename Parser>
error_code FeedParser(Parser& parser, boost::beast::flat_buffer& buffer) {
  if (!parser.got_some()) {
    bool complete = false;
    error_code error = CheckHead({static_cast<const char*>(buffer.data().data()), buffer.size()}, &complete);
    if (error || !complete) return error;
  }
  while (buffer.size() > 0 && !parser.is_done()) {
    error_code error;
    bool head_parsed_before = parser.is_header_done();
    buffer.consume(parser.put(buffer.data(), error));
    if (error == http::error::need_more) {
      if (buffer.size() > kMaxHeaderBytes) return http::error::header_limit;
      return {};
    }
    if (error) return error;
    if (!head_parsed_before && parser.is_header_done() && !HasUnambiguousFraming(parser.get())) {
      return http::error::bad_transfer_encoding;
    }
  }
  return {};
}

}  // namespace gateway::net

#endif  // GATEWAY_NET_HTTP_FRAMING_H_
