#include "net/attempt_result.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>

#include "net/http_field_names.h"

namespace gateway::net {
namespace {

using policy::CallResult;

constexpr double kMaxReportedCostUnits = 65535;

// Parses the cost from a field's value. Returns 0 for anything but a positive finite number.
double ParseCostUnits(std::string_view text) {
  double units = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), units);
  bool valid = error == std::errc() && end == text.data() + text.size() && std::isfinite(units) && units > 0;
  return valid ? std::min(units, kMaxReportedCostUnits) : 0;
}

// Returns whether the field is addressed to the gateway and must not be passed on to the client. Field names
// are case-insensitive (RFC 9110, 5.1).
bool IsForGatewayOnly(boost::beast::string_view field_name) {
  return boost::beast::iequals(field_name, kActualCostField) ||
         boost::beast::iequals(field_name, kLoadReportField) ||
         boost::beast::iequals(field_name, kNotStartedField);
}

}  // namespace

AttemptResult ToAttemptResult(http::response<http::string_body>* response) {
  AttemptResult outcome;
  if (response->result() != http::status::ok) {
    bool unavailable = response->result() == http::status::service_unavailable ||
                       response->result() == http::status::gateway_timeout;
    bool not_started = ToStringView((*response)[kNotStartedField]) == kNotStartedValue;
    outcome.result = unavailable && not_started ? CallResult::kRejected : CallResult::kError;
    return outcome;
  }
  outcome.result = CallResult::kOk;
  outcome.actual_cost_units = ParseCostUnits(ToStringView((*response)[kActualCostField]));
  AppendEndToEnd(*response, &outcome.headers,
                 [](const auto& field) { return IsForGatewayOnly(field.name_string()); });
  outcome.body = std::move(response->body());
  return outcome;
}

}  // namespace gateway::net
