// Converts settings from the JSON form of a configuration file to the flat form that the settings parser
// reads.
#ifndef GATEWAY_CONFIG_JSON_FLATTENER_H_
#define GATEWAY_CONFIG_JSON_FLATTENER_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gateway::config {

// Returns lines of path=value, the format that SettingsText reads. A list of objects becomes its length at
// ".count" and its items at ".0", ".1" and so on. A list of plain values becomes a single value, joined by
// commas.
std::string FlattenSettings(const nlohmann::json& settings);

// Converts a name to its spelling in the flat form, in which spaces, commas and line breaks are replaced by
// '_'. A name from another source has to be converted before it is compared with a name of the settings.
std::string NormalizeName(std::string_view name);

// Returns the index in `names`, which are normalized, of the normalized `name`; nullopt if it is not there.
std::optional<int> FindName(const std::vector<std::string>& names, std::string_view name);

}  // namespace gateway::config

#endif  // GATEWAY_CONFIG_JSON_FLATTENER_H_
