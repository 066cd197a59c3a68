// Reads one final HTTP/1.1 response, after any interim responses, with limits on its size.
#ifndef GATEWAY_NET_RESPONSE_READER_H_
#define GATEWAY_NET_RESPONSE_READER_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>

#include "net/message_parser.h"
#include "net/socket_util.h"

namespace gateway::net {

// Interim responses (1xx, RFC 9110, 15.2) are skipped; a message with too many of them is malformed. After an
// error the reader must not be used any more.
class ResponseReader {
 public:
  using Message = http::response<http::string_body>;

  explicit ResponseReader(size_t max_body_bytes);

  // Parses the buffered bytes and removes what it has used from the buffer. Without an error the response is
  // complete or more bytes are needed. Does nothing if the response is complete.
  error_code Feed(boost::beast::flat_buffer& buffer);

  // Handles the orderly end of the connection. Returns an error unless it completes the response, which then
  // has neither a length nor chunked coding (RFC 9112, 6.3).
  error_code FeedEnd();

  bool IsComplete() const { return parser_->is_done(); }

  // Whether the head of the message that is being read has been parsed, which needs the whole head.
  bool HasStarted() const { return parser_->got_some(); }

  // The following are only valid for a complete response.
  bool KeepsConnectionAlive() const { return parser_->keep_alive(); }
  Message& message() { return parser_->get(); }
  const Message& message() const { return parser_->get(); }

 private:
  const size_t max_body_bytes_;
  MessageParser<http::response_parser<http::string_body>> parser_;
  int interim_responses_ = 0;
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_RESPONSE_READER_H_
