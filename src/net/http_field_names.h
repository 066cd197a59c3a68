// The names of HTTP fields, cookies, paths and query parameters in the protocol. The constants are named by
// the terms that the code uses. No other source file of the gateway spells these names out.
#ifndef GATEWAY_NET_HTTP_FIELD_NAMES_H_
#define GATEWAY_NET_HTTP_FIELD_NAMES_H_

namespace gateway::net {

// Sent by clients, and forwarded to backends.
inline constexpr char kRequestIdField[] = "Request-Id";            // unique for every request and retry
inline constexpr char kIdempotencyKeyField[] = "Idempotency-Key";  // the same in all retries of a request
inline constexpr char kTimeoutMsField[] = "Request-Timeout-Ms";    // rewritten for each attempt
inline constexpr char kPlanField[] = "X-Tier";                     // name of the tenant's plan
inline constexpr char kTenantCookie[] = "client";                  // the tenant's number, in hexadecimal
// A comma-separated list of name=value items: the cost of the request and the ingress gateways of its tenant.
inline constexpr char kQuotaTermsField[] = "X-Call-Terms";
inline constexpr char kCostUnitsTerm[] = "units";
inline constexpr char kIngressGatewaysTerm[] = "spread";     // number of consecutive gateways
inline constexpr char kFirstIngressGatewayTerm[] = "first";  // index of the first of them

// Sent by backends. The measured cost and the load report are not forwarded to the client.
inline constexpr char kNotStartedField[] = "Not-Started";  // with 503 or 504: the request has not run
inline constexpr char kNotStartedValue[] = "1";
inline constexpr char kActualCostField[] = "X-Cost-Units";  // measured cost, in units
inline constexpr char kLoadReportField[] = "Server-Load";

// Paths that the gateway serves itself. Requests for all other paths are forwarded.
inline constexpr char kAdminPathPrefix[] = "/-/";
inline constexpr char kReadinessPath[] = "/-/ready";

// Discovery.
inline constexpr char kEndpointListPath[] = "/api/targets";
// Discovery answers a watch as soon as the endpoint list is newer than the index, or after the waiting time.
inline constexpr char kWatchIndexParameter[] = "after";
inline constexpr char kWatchWaitMsParameter[] = "wait_ms";

}  // namespace gateway::net

#endif  // GATEWAY_NET_HTTP_FIELD_NAMES_H_
