// Decides by the bytes that follow a complete response whether its end can be trusted.
#ifndef GATEWAY_NET_RESPONSE_END_CHECK_H_
#define GATEWAY_NET_RESPONSE_END_CHECK_H_

#include <boost/beast/core/flat_buffer.hpp>
#include <optional>

#include "net/response_reader.h"

namespace gateway::net {

// A response is complete when its framing says so: by Content-Length, chunked coding or its status. If the
// framing is wrong and ends too early, the response is cut off and the rest of its body follows it. A faulty
// backend may also send other bytes after a response that is whole: a second copy of it, or noise.
//
// Rule: bytes that follow a response make its end doubtful, unless they are a second copy: a complete
// response with the same status and body. The rest of a body is no copy of its beginning. Noise cannot be
// distinguished from the rest of a body, so it makes the end doubtful too.
class ResponseEndCheck {
 public:
  enum class Verdict {
    kNothingFollows,  // no byte follows the response so far
    kCopyFollows,     // the response is whole
    kUndecided,       // the bytes so far may be the first part of a second copy
    kDoubtful,        // the response may be cut off
  };

  // `response` is the complete response and must be the same in each call. `following` holds the bytes that
  // have arrived behind it since the preceding call; bytes of a second copy are removed. Must not be called
  // again after kCopyFollows or kDoubtful.
  Verdict Check(const ResponseReader::Message& response, boost::beast::flat_buffer& following);

 private:
  std::optional<ResponseReader> second_;  // reads the bytes that follow
};

}  // namespace gateway::net

#endif  // GATEWAY_NET_RESPONSE_END_CHECK_H_
