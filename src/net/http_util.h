// All helpers of HTTP connections, for files that use most of them.
#ifndef GATEWAY_NET_HTTP_UTIL_H_
#define GATEWAY_NET_HTTP_UTIL_H_

#include "net/http_framing.h"
#include "net/http_headers.h"
#include "net/socket_util.h"

#endif  // GATEWAY_NET_HTTP_UTIL_H_
