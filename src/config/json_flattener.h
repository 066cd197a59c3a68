// Brings settings from their JSON form, as in a configuration file, to the flat form that is parsed.
#ifndef GATEWAY_CONFIG_JSON_FLATTENER_H_
#define GATEWAY_CONFIG_JSON_FLATTENER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::config {

// Lines of path=value, as SettingsText reads them. A list of objects gives its length under ".count" and its
// items under ".0", ".1" and so on; a list of plain values gives one value, joined by commas.
std::string FlattenSettings(const nlohmann::json& settings);

// A name as it stands in the flat form, where spaces, commas and line ends become '_'. Names from elsewhere
// are compared with those of the settings in this form.
std::string NormalizeName(std::string_view name);

// Index of a name among those of the settings; none where it is not there.
std::optional<int> FindName(const std::vector<std::string>& names, std::string_view name);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_JSON_FLATTENER_H_
