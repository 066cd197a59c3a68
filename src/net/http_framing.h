// Where an HTTP/1.1 message begins and ends: bounded parsing of bytes as they come, for requests and
// responses alike, and checks that no two readers can take the framing in two ways.
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

inline constexpr size_t kMaxBodyBytes = size_t{64} * 1024;  // bytes
inline constexpr size_t kMaxHeaderBytes =
    size_t{16} * 1024;  // bytes: start line and fields, or one chunk's framing

// Replaces the parser by a fresh one for the next message, with the limits above; `most_body` in bytes.
template <typename Parser>
void ResetParser(std::optional<Parser>* parser, size_t most_body) {
  parser->emplace();
  (*parser)->header_limit(kMaxHeaderBytes);
  (*parser)->body_limit(most_body);
}

// Whether the end of a message is given once and without doubt (RFC 9112, 6.3): by one Content-Length with
// one value, or by chunked coding alone. Guards against request smuggling, where a second message is hidden
// in the body of the first and another reader on the way takes the other of two lengths.
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

// Looks at the bytes of a message that has not begun to be parsed. `*complete` is set if the whole head is
// there. Returns header_limit for a head past kMaxHeaderBytes, and bad_obs_fold for a line that continues the
// one before it (RFC 9112, 5.2).
error_code CheckHead(std::string_view bytes, bool* complete);

// Gives the parser what has come, and consumes it from the buffer. No error means that the message is
// complete (parser.is_done()) or that more bytes are needed. After an error the framing of the connection is
// in doubt.
//
// A head is parsed only when it is complete, so that it can be checked, and nothing but a body grows past
// kMaxHeaderBytes. The parser is never set to eager: Beast 1.74 then goes on to a body that is past its limit
// when bytes of it have come with the head, and reserves its whole length.
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
