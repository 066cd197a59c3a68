#include "net/message_parser.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "support/flooding_peer.h"

namespace gateway::net {
namespace {

using namespace test_support;
using RequestMessageParser = MessageParser<http::request_parser<http::string_body>>;
using ResponseMessageParser = MessageParser<http::response_parser<http::string_body>>;

constexpr char kChunkedRequest[] = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kChunkedResponse[] = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

void Append(const std::string& bytes, boost::beast::flat_buffer* buffer) {
  buffer->commit(asio::buffer_copy(buffer->prepare(bytes.size()), asio::buffer(bytes)));
}

// Feeds the bytes in reads as the gateway makes them.
template <typename Parser>
error_code FeedInReads(const std::string& bytes, Parser* parser) {
  boost::beast::flat_buffer buffer;
  for (size_t at = 0; at < bytes.size(); at += kReadChunkBytes) {
    Append(bytes.substr(at, kReadChunkBytes), &buffer);
    if (error_code error = parser->Feed(buffer)) return error;
  }
  return {};
}

// Feeds the head and then the same bytes again and again. Returns how many of these were fed until the first
// error, or `max_bytes`.
template <typename Parser>
size_t BytesUntilError(const std::string& head, const std::string& repeated, size_t max_bytes) {
  Parser parser(kMaxBodyBytes);
  EXPECT_FALSE(FeedInReads(head, &parser));
  boost::beast::flat_buffer buffer;
  size_t fed_bytes = 0;
  error_code error;
  while (!error && fed_bytes < max_bytes) {
    Append(repeated, &buffer);
    fed_bytes += repeated.size();
    error = parser.Feed(buffer);
  }
  return fed_bytes;
}

// A peer sends a chunked body that is nearly all framing (review cases 6 and 9). The limit on the body does
// not end it: with an extension of 16 KiB in each chunk of one byte it would come to 1 GB.
TEST(MessageParser, RefusesABodyWhoseFramingNeverEnds) {
  constexpr size_t kMaxBytes = 4 << 20;
  const std::string leading_zeros = std::string(4000, '0') + "1\r\ny\r\n";
  for (const std::string& chunks :
       {ChunksWithExtensions(100), ChunksWithExtensions(4000), ChunksWithExtensions(15000), leading_zeros,
        std::string("1;x\r\ny\r\n")}) {
    EXPECT_LT(BytesUntilError<RequestMessageParser>(kChunkedRequest, chunks, kMaxBytes), kMaxBytes);
    EXPECT_LT(BytesUntilError<ResponseMessageParser>(kChunkedResponse, chunks, kMaxBytes), kMaxBytes);
  }
}

// A head, a chunk's extension or a trailer that never ends.
TEST(MessageParser, RefusesAnElementThatNeverEnds) {
  constexpr size_t kMaxBytes = 1 << 20;
  const std::string field = "X-More: " + std::string(90, 'x') + "\r\n";
  const std::string letters(1000, 'x');
  const std::string chunked = kChunkedRequest;
  EXPECT_LT(BytesUntilError<RequestMessageParser>("GET /", letters, kMaxBytes), kMaxBytes);
  EXPECT_LT(BytesUntilError<RequestMessageParser>("GET / HTTP/1.1\r\n", field, kMaxBytes), kMaxBytes);
  EXPECT_LT(BytesUntilError<RequestMessageParser>(chunked + "1;", letters, kMaxBytes), kMaxBytes);
  EXPECT_LT(BytesUntilError<RequestMessageParser>(chunked + "0\r\n", field, kMaxBytes), kMaxBytes);
  EXPECT_LT(BytesUntilError<ResponseMessageParser>("HTTP/1.1 200 OK\r\n\r\n", letters, kMaxBytes), kMaxBytes);
}

// The largest body in the smallest chunks, with a short extension each, is valid and has to be accepted, as
// are one long extension and trailers.
TEST(MessageParser, AcceptsTheLargestBodyInChunksOfOneByte) {
  const std::string chunks = ChunksWithExtensions(4, static_cast<int>(kMaxBodyBytes));
  RequestMessageParser many_chunks(kMaxBodyBytes);
  EXPECT_FALSE(FeedInReads(kChunkedRequest + chunks + "0\r\n\r\n", &many_chunks));
  EXPECT_TRUE(many_chunks->is_done());
  EXPECT_EQ(many_chunks->get().body().size(), kMaxBodyBytes);
  RequestMessageParser long_extension(kMaxBodyBytes);
  const std::string trailer = "X-Trailer: " + std::string(5000, 't') + "\r\n";
  EXPECT_FALSE(FeedInReads(kChunkedRequest + ChunksWithExtensions(5000, 1) + "0\r\n" + trailer + "\r\n",
                           &long_extension));
  EXPECT_TRUE(long_extension->is_done());
}

// Returns `count` of the shortest fields.
std::string ShortFields(size_t count) {
  std::string fields;
  for (size_t i = 0; i < count; ++i) fields.append("a:\r\n");
  return fields;
}

// A peer sends very many short fields, whose parsed form takes some twenty times the memory of their bytes,
// and then the process passes its memory limit. The most fields that are allowed have to be accepted.
TEST(MessageParser, RefusesVeryManyFields) {
  for (size_t fields : {kMaxFields - 1, kMaxFields, size_t{3900}}) {
    bool refused = fields >= kMaxFields;  // the heads have a field of their own
    RequestMessageParser head(kMaxBodyBytes), trailers(kMaxBodyBytes);
    const std::string field = "Content-Length: 0\r\n";
    error_code head_error = FeedInReads("POST / HTTP/1.1\r\n" + field + ShortFields(fields) + "\r\n", &head);
    EXPECT_EQ(head_error, refused ? http::error::header_limit : error_code()) << fields;
    EXPECT_EQ(head->is_done(), !refused) << fields;
    const std::string coding = "Transfer-Encoding: chunked\r\n\r\n0\r\n";
    error_code trailer_error =
        FeedInReads("POST / HTTP/1.1\r\n" + coding + ShortFields(fields) + "\r\n", &trailers);
    EXPECT_EQ(trailer_error, refused ? http::error::header_limit : error_code()) << fields;
    ResponseMessageParser response(kMaxBodyBytes);
    error_code response_error =
        FeedInReads("HTTP/1.1 200 OK\r\n" + field + ShortFields(fields) + "\r\n", &response);
    EXPECT_EQ(response_error, refused ? http::error::header_limit : error_code()) << fields;
  }
}

}  // namespace
}  // namespace gateway::net
