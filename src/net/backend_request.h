// Builds the request that is sent to a backend from the request that was received from a client.
#ifndef GATEWAY_NET_BACKEND_REQUEST_H_
#define GATEWAY_NET_BACKEND_REQUEST_H_

#include <string>

#include "net/client_server.h"
#include "net/in_flight_requests.h"

namespace gateway::net {

// Returns the request line and the unchanged end-to-end fields (PROTOCOL, Gateways to backends), without the
// timeout field and without the empty line that ends the head. Adds a Host field if there is none, and a
// Content-Length field if there is a body or the method is POST. Must be called before the message's body is
// moved out of it.
std::string BuildBackendRequestHead(const ClientRequest& message);

// Returns the complete request message. Its timeout field tells the backend how long the gateway will wait
// for the response.
std::string BuildBackendRequest(const InFlightRequest& request, double time_left_s);

}  // namespace gateway::net

#endif  // GATEWAY_NET_BACKEND_REQUEST_H_
