#include "net/response_reader.h"

namespace gateway::net {
namespace {

constexpr int kMaxInterimResponses = 16;  // before the final response

bool IsInterim(const ResponseReader::Message& message) {
  return http::to_status_class(message.result_int()) == http::status_class::informational;
}

}  // namespace

ResponseReader::ResponseReader(size_t max_body_bytes)
    : max_body_bytes_(max_body_bytes), parser_(max_body_bytes) {}

error_code ResponseReader::Feed(boost::beast::flat_buffer& buffer) {
  for (;;) {
    if (error_code error = parser_.Feed(buffer)) return error;
    if (!parser_->is_done() || !IsInterim(parser_->get())) return {};
    if (++interim_responses_ > kMaxInterimResponses) return http::error::bad_status;
    parser_.Reset(max_body_bytes_);
  }
}

error_code ResponseReader::FeedEnd() {
  if (!HasStarted()) return http::error::end_of_stream;
  error_code error;
  parser_->put_eof(error);
  return error;
}

}  // namespace gateway::net
