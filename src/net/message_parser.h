// Incremental parsing of one HTTP/1.1 message at a time, with limits on everything that a peer can send.
#ifndef GATEWAY_NET_MESSAGE_PARSER_H_
#define GATEWAY_NET_MESSAGE_PARSER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <optional>
#include <string_view>

#include "net/http_framing.h"
#include "net/socket_util.h"

namespace gateway::net {

// Adds what Beast's parser does not limit: the head is checked before it is parsed (CheckHead), its framing
// must be unambiguous, and the framing of a chunked body and its trailers are limited. Without these limits a
// peer could send a body of 64 KiB as 1 GB, with a long extension in each chunk of one byte (RFC
// 9112, 7.1.1), and trailers that take many times the memory of their bytes.
//
// `Parser` is a Beast parser with a string body. It must not be set to eager: Beast 1.74 would then continue
// with a body that exceeds its limit if bytes of it arrive together with the head, and would reserve memory
// for its whole length.
template <typename Parser>
class MessageParser {
 public:
  explicit MessageParser(size_t max_body_bytes) { Reset(max_body_bytes); }

  // Prepares for the next message, which is limited to kMaxHeaderBytes and `max_body_bytes`.
  void Reset(size_t max_body_bytes) {
    parser_.emplace();
    parser_->header_limit(kMaxHeaderBytes);
    parser_->body_limit(max_body_bytes);
    encoded_body_bytes_ = 0;
  }

  // Parses the buffered bytes and removes what it has used from the buffer. Without an error the message is
  // complete or more bytes are needed. After an error the framing of the rest of the connection is unknown.
  error_code Feed(boost::beast::flat_buffer& buffer) {
    if (!parser_->got_some()) {
      bool complete = false;
      error_code error =
          CheckHead({static_cast<const char*>(buffer.data().data()), buffer.size()}, &complete);
      if (error || !complete) return error;
    }
    while (buffer.size() > 0 && !parser_->is_done()) {
      error_code error = parser_->is_header_done() ? FeedBody(buffer) : FeedHead(buffer);
      if (error == http::error::need_more) {
        if (buffer.size() > kMaxHeaderBytes) return http::error::header_limit;
        return {};
      }
      if (error) return error;
    }
    return {};
  }

  // Beast's parser, for its other functions.
  Parser* operator->() { return &*parser_; }
  const Parser* operator->() const { return &*parser_; }

 private:
  error_code FeedHead(boost::beast::flat_buffer& buffer) {
    error_code error;
    buffer.consume(parser_->put(buffer.data(), error));
    if (!error && parser_->is_header_done() && !HasUnambiguousFraming(parser_->get())) {
      return http::error::bad_transfer_encoding;
    }
    return error;
  }

  error_code FeedBody(boost::beast::flat_buffer& buffer) {
    error_code error;
    size_t used = parser_->put(buffer.data(), error);
    buffer.consume(used);
    encoded_body_bytes_ += used;
    if (encoded_body_bytes_ > MaxEncodedBodyBytes(parser_->get().body().size())) {
      return http::error::body_limit;
    }
    if (!error && parser_->is_done() && HasTooManyFields(parser_->get())) return http::error::header_limit;
    return error;
  }

  std::optional<Parser> parser_;
  size_t encoded_body_bytes_ = 0;  // of the body with its framing
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_MESSAGE_PARSER_H_
