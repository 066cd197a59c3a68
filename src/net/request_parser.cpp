#include "net/request_parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <string>
#include <system_error>
#include <type_traits>
#include <vector>

#include "config/json_flattener.h"
#include "net/http_field_names.h"

namespace gateway::net {
namespace {

using policy::Idempotency;

constexpr unsigned long kMaxTimeoutMs = 60000;
constexpr size_t kMaxRequestIdBytes = 64;
constexpr size_t kMaxTenantDigits = 16;
constexpr double kMaxEndCheckFraction = 0.5;  // of the time for which the client waits
constexpr double kMaxEndCheckS = 1;  // a malformed request must be answered within 3 s of its connection
constexpr uint64_t kTenantNumberLimit = 1ULL << 33;  // tenant numbers are below it

// Parses the text as a number. Returns nothing unless the whole text is a number.
template <typename T>
std::optional<T> ParseNumber(std::string_view text, int base = 10) {
  T value{};
  std::from_chars_result result{};
  const char* end = text.data() + text.size();
  if constexpr (std::is_floating_point_v<T>) {
    result = std::from_chars(text.data(), end, value);
  } else {
    result = std::from_chars(text.data(), end, value, base);
  }
  if (text.empty() || result.ec != std::errc() || result.ptr != end) return std::nullopt;
  return value;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

// Returns the value of `name` in a list of name=value items, or nothing if `name` is absent or repeated.
std::optional<std::string_view> FindListItem(std::string_view list, char separator, std::string_view name) {
  std::optional<std::string_view> found;
  while (!list.empty()) {
    size_t end = std::min(list.find(separator), list.size());
    std::string_view item = Trim(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
    size_t equals = item.find('=');
    if (equals == std::string_view::npos || Trim(item.substr(0, equals)) != name) continue;
    if (found) return std::nullopt;
    found = Trim(item.substr(equals + 1));
  }
  return found;
}

// Parses the request class, which is the first segment of the path, and the plan.
bool ParseClassAndPlan(const ClientRequest& message, const config::DeploymentSettings& deployment,
                       policy::Request* request) {
  std::string_view target = ToStringView(message.target());
  if (target.empty() || target.front() != '/') return false;
  size_t end = std::min(target.find_first_of("/?#", 1), target.size());
  auto request_class = config::FindName(deployment.class_names, target.substr(1, end - 1));
  auto plan = config::FindName(deployment.plan_names, ToStringView(message[kPlanField]));
  if (!request_class || !plan) return false;
  request->request_class = *request_class;
  request->plan = *plan;
  return true;
}

// Whether one of the fields that must be unique is repeated. The gateway might use one of the values and a
// backend another.
bool HasRepeatedField(const ClientRequest& message) {
  for (std::string_view name :
       {std::string_view("Host"), std::string_view(kRequestIdField), std::string_view(kPlanField),
        std::string_view("Cookie"), std::string_view(kTimeoutMsField), std::string_view(kIdempotencyKeyField),
        std::string_view(kQuotaTermsField)}) {
    if (message.count({name.data(), name.size()}) > 1) return true;
  }
  return false;
}

std::optional<uint64_t> ParseTenant(const ClientRequest& message) {
  auto digits = FindListItem(ToStringView(message[http::field::cookie]), ';', kTenantCookie);
  if (!digits || digits->size() > kMaxTenantDigits) return std::nullopt;
  auto tenant = ParseNumber<uint64_t>(*digits, 16);
  if (!tenant || *tenant >= kTenantNumberLimit) return std::nullopt;
  return tenant;
}

std::optional<double> ParseTimeout(const ClientRequest& message, double deadline_s) {
  auto timeout_ms = ParseNumber<unsigned long>(ToStringView(message[kTimeoutMsField]));
  if (!timeout_ms || *timeout_ms < 1 || *timeout_ms > kMaxTimeoutMs) return std::nullopt;
  return std::min(static_cast<double>(*timeout_ms) / 1000, deadline_s);
}

// Parses the cost of the request and the ingress gateways of its tenant.
bool ParseQuotaTerms(std::string_view terms, const policy::Settings& settings, policy::Request* request) {
  auto cost_text = FindListItem(terms, ',', kCostUnitsTerm);
  auto ingress_text = FindListItem(terms, ',', kIngressGatewaysTerm);
  auto first_text = FindListItem(terms, ',', kFirstIngressGatewayTerm);
  if (!cost_text || !ingress_text || !first_text) return false;

  auto cost_units = ParseNumber<double>(*cost_text);
  if (!cost_units || !std::isfinite(*cost_units) || *cost_units <= 0) return false;
  if (settings.max_request_units > 0 && *cost_units > settings.max_request_units) return false;

  int gateways = std::max(1, settings.gateway_count);
  auto ingress_gateways = ParseNumber<int>(*ingress_text);
  if (!ingress_gateways || *ingress_gateways < 1 || *ingress_gateways > gateways) return false;
  auto first_gateway = ParseNumber<int>(*first_text);
  if (!first_gateway || *first_gateway < 0 || *first_gateway >= gateways) return false;

  request->cost_units = *cost_units;
  request->ingress_gateways = *ingress_gateways;
  return true;
}

}  // namespace

RequestParseResult ParseClientRequest(const ClientRequest& message, const config::GatewayConfig& config) {
  ParsedRequest parsed;
  policy::Request& request = parsed.request;
  if (!ParseClassAndPlan(message, config.deployment, &request)) return http::status::bad_request;
  if (HasRepeatedField(message)) return http::status::bad_request;

  parsed.client_request_id = ToStringView(message[kRequestIdField]);
  if (parsed.client_request_id.empty() || parsed.client_request_id.size() > kMaxRequestIdBytes) {
    return http::status::bad_request;
  }

  auto tenant = ParseTenant(message);
  if (!tenant) return http::status::bad_request;
  request.tenant = *tenant;

  const policy::ClassSettings& class_settings = config.settings.ClassAt(request.request_class);
  auto timeout_s = ParseTimeout(message, class_settings.deadline_s);
  if (!timeout_s) return http::status::bad_request;
  parsed.timeout_s = *timeout_s;

  if (!ParseQuotaTerms(ToStringView(message[kQuotaTermsField]), config.settings, &request)) {
    return http::status::bad_request;
  }
  bool needs_key = class_settings.idempotency == Idempotency::kIdempotencyKey;
  if (needs_key && ToStringView(message[kIdempotencyKeyField]).empty()) return http::status::bad_request;

  parsed.idempotent = class_settings.idempotency == Idempotency::kIdempotent;
  http::verb method = parsed.idempotent ? http::verb::get : http::verb::post;
  if (message.method() != method) return http::status::method_not_allowed;
  return parsed;
}

Clock::duration MaxEndCheckTime(const ClientRequest& message, const config::GatewayConfig& config) {
  RequestParseResult result = ParseClientRequest(message, config);
  const auto* parsed = std::get_if<ParsedRequest>(&result);
  if (parsed == nullptr) return {};
  return Seconds(std::min(kMaxEndCheckFraction * parsed->timeout_s, kMaxEndCheckS));
}

}  // namespace gateway::net
