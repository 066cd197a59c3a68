// Writes the request that goes to a backend from the one that came from a client.
#ifndef GATEWAY_NET_BACKEND_REQUEST_H_
#define GATEWAY_NET_BACKEND_REQUEST_H_

#include <string>

#include "net/client_server.h"
#include "net/in_flight_requests.h"

namespace gateway::net {

// The request line and the end-to-end fields, unchanged (PROTOCOL, Gateways to backends), without the
// time-out and the empty line after the fields. To be called before the message's body is moved out of it.
std::string BuildBackendRequestHead(const ClientRequest& message);

// A complete message that tells the backend how long the gateway will wait for its answer.
std::string BuildBackendRequest(const InFlightRequest& request, double time_left_s);

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_REQUEST_H_
