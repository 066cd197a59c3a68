#include "policy/request_validation.h"

#include <cmath>
#include <cstddef>

namespace gateway::policy {
namespace {

// With no more time left than this many timer resolutions, no response could arrive in time.
constexpr double kMinTimeLeftResolutions = 2;

bool IsValidIndex(int index, size_t size) { return index >= 0 && static_cast<size_t>(index) < size; }

}  // namespace

bool IsValidRequest(const Request& request, const Settings& settings) {
  if (!IsValidIndex(request.request_class, settings.classes.size())) return false;
  if (!IsValidIndex(request.plan, settings.plans.size())) return false;
  if (!std::isfinite(request.cost_units) || request.cost_units <= 0) return false;
  if (!std::isfinite(request.ingress_gateways) || !std::isfinite(request.time_left_s)) return false;
  return request.time_left_s > kMinTimeLeftResolutions * settings.timer_resolution_s;
}

}  // namespace gateway::policy
