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

// The cost in a field's value; 0 for anything but a positive finite number.
double ParseCostUnits(std::string_view text) {
  double units = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), units);
  bool sound = error == std::errc() && end == text.data() + text.size() && std::isfinite(units) && units > 0;
  return sound ? std::min(units, kMaxReportedCostUnits) : 0;
}

// Field names know no case (RFC 9110, 5.1).
bool IsForGatewayOnly(boost::beast::string_view field_name) {
  return boost::beast::iequals(field_name, kActualCostField) ||
         boost::beast::iequals(field_name, kLoadReportField) ||
         boost::beast::iequals(field_name, kNotStartedField);
}

}  // namespace

AttemptResult ToAttemptResult(http::response<http::string_body>* response) {
  AttemptResult end;
  if (response->result() != http::status::ok) {
    bool unavailable = response->result() == http::status::service_unavailable ||
                       response->result() == http::status::gateway_timeout;
    bool not_started = ToStringView((*response)[kNotStartedField]) == kNotStartedValue;
    end.result = unavailable && not_started ? CallResult::kRejected : CallResult::kError;
    return end;
  }
  end.result = CallResult::kOk;
  end.actual_cost_units = ParseCostUnits(ToStringView((*response)[kActualCostField]));
  AppendEndToEnd(*response, &end.headers,
                 [](const auto& field) { return IsForGatewayOnly(field.name_string()); });
  end.body = std::move(response->body());
  return end;
}

}  // namespace gateway::net
