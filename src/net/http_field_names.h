// The names that the protocol gives to HTTP fields, cookies, paths and query parameters, each under the term
// that the code uses for it. No other file spells them out.
#ifndef GATEWAY_NET_HTTP_FIELD_NAMES_H_
#define GATEWAY_NET_HTTP_FIELD_NAMES_H_

namespace gateway::net {

// Client to gateway, and passed on to backends.
inline constexpr char kRequestIdField[] = "Request-Id";            // new with every request and every retry
inline constexpr char kIdempotencyKeyField[] = "Idempotency-Key";  // the same in all retries of a request
inline constexpr char kTimeoutMsField[] = "Request-Timeout-Ms";    // rewritten for each attempt
inline constexpr char kPlanField[] = "X-Tier";                     // name of the tenant's plan
inline constexpr char kTenantCookie[] = "client";                  // the tenant's number, in hexadecimal
// A comma-separated list of name=value: what the request costs, and which gateways its tenant comes through.
inline constexpr char kQuotaTermsField[] = "X-Call-Terms";
inline constexpr char kCostUnitsTerm[] = "units";
inline constexpr char kIngressGatewaysTerm[] = "spread";     // number of consecutive gateways
inline constexpr char kFirstIngressGatewayTerm[] = "first";  // index of the first of them

// Backend to gateway. The measured cost and the load report are not passed on to the client.
inline constexpr char kNotStartedField[] = "Not-Started";  // on 503 and 504: the request has not run
inline constexpr char kNotStartedValue[] = "1";
inline constexpr char kActualCostField[] = "X-Cost-Units";  // measured cost, in units
inline constexpr char kLoadReportField[] = "Server-Load";

// The gateway's own resources; requests for any other path are forwarded.
inline constexpr char kAdminPathPrefix[] = "/-/";
inline constexpr char kReadinessPath[] = "/-/ready";

// Discovery.
inline constexpr char kEndpointListPath[] = "/api/targets";
inline constexpr char kWatchIndexParameter[] = "after";     // answer when the list is newer than this index
inline constexpr char kWatchWaitMsParameter[] = "wait_ms";  // or when so long has passed

}  // namespace gateway::net

#endif  // GATEWAY_NET_HTTP_FIELD_NAMES_H_
