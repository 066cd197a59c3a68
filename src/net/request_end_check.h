// Decides by the bytes that follow a complete request whether its end can be trusted.
#ifndef GATEWAY_NET_REQUEST_END_CHECK_H_
#define GATEWAY_NET_REQUEST_END_CHECK_H_

#include <string_view>

namespace gateway::net {

// A request is complete when its framing says so. If its length is too small, the request is cut off and the
// rest of its body follows it: it must not be forwarded. A client may also send its next request at once, any
// part of which may have arrived.
//
// Rule: what follows has to be empty lines (CRLF; RFC 9112, 2.2), or begin with the whole request line of
// another request. A part of that line may still become one, and may as well be the rest of a body.
enum class RequestEnd {
  kTrusted,    // nothing follows, or what follows is no rest of the body
  kUndecided,  // the bytes so far may be the first part of another request
  kDoubtful,   // the request may be cut off
};

// `following` holds all bytes that have arrived behind the request.
RequestEnd CheckRequestEnd(std::string_view following);

}  // namespace gateway::net

#endif  // GATEWAY_NET_REQUEST_END_CHECK_H_
