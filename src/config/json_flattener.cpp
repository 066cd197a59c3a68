#include "config/json_flattener.h"

#include <algorithm>

namespace gateway::config {
namespace {

using nlohmann::json;

void FlattenInto(const std::string& path, const json& value, std::string* flat);

void AppendLine(const std::string& path, const std::string& value, std::string* flat) {
  flat->append(path).append("=").append(value).append("\n");
}

std::string PlainValue(const json& value) {
  return value.is_string() ? NormalizeName(value.get<std::string>()) : value.dump();
}

std::string ChildPath(const std::string& path, const std::string& key) { return path + "." + key; }

void FlattenObject(const std::string& path, const json& object, std::string* flat) {
  for (const auto& [key, value] : object.items()) {
    FlattenInto(path.empty() ? key : ChildPath(path, key), value, flat);
  }
}

// An empty array may be a list of objects or a list of plain values, so both its length and an empty value
// are written.
void FlattenArray(const std::string& path, const json& array, std::string* flat) {
  bool of_objects = !array.empty() && array.front().is_object();
  if (of_objects || array.empty()) AppendLine(ChildPath(path, "count"), std::to_string(array.size()), flat);
  if (of_objects) {
    for (size_t i = 0; i < array.size(); ++i) {
      FlattenInto(ChildPath(path, std::to_string(i)), array[i], flat);
    }
    return;
  }
  std::string joined;
  for (const json& item : array) {
    if (!joined.empty()) joined += ',';
    joined += PlainValue(item);
  }
  AppendLine(path, joined, flat);
}

void FlattenInto(const std::string& path, const json& value, std::string* flat) {
  if (value.is_object()) {
    FlattenObject(path, value, flat);
  } else if (value.is_array()) {
    FlattenArray(path, value, flat);
  } else {
    AppendLine(path, PlainValue(value), flat);
  }
}

}  // namespace

std::string NormalizeName(std::string_view name) {
  std::string normalized(name);
  for (char& c : normalized) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return normalized;
}

std::string FlattenSettings(const json& settings) {
  std::string flat;
  FlattenInto("", settings, &flat);
  return flat;
}

std::optional<int> FindName(const std::vector<std::string>& names, std::string_view name) {
  auto it = std::find(names.begin(), names.end(), NormalizeName(name));
  if (it == names.end()) return std::nullopt;
  return static_cast<int>(it - names.begin());
}

}  // namespace gateway::config
