#include "tier/settings/yaml_reader.h"

#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <limits>
#include <system_error>

namespace pearreach::settings {
namespace {

bool ParseNumber(const std::string& text, double* number) {
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, *number);
  return error == std::errc() && rest == end && std::isfinite(*number);
}

}  // namespace

void ReadValue(const YAML::Node& node, const std::string& place, std::string* out,
               Findings* findings) {
  if (!node.IsScalar()) return findings->Add(node.Mark(), place, "not a text");
  *out = node.Scalar();
}

void ReadValue(const YAML::Node& node, const std::string& place, bool* out, Findings* findings) {
  const std::string& text = node.Scalar();  // empty where it is no scalar
  if (text != "true" && text != "false") {
    return findings->Add(node.Mark(), place, "neither true nor false");
  }
  *out = text == "true";
}

void ReadValue(const YAML::Node& node, const std::string& place, double* out, Findings* findings) {
  double number = 0;
  const bool fits = node.IsScalar() && ParseNumber(node.Scalar(), &number);
  if (!fits) return findings->Add(node.Mark(), place, "not a number");
  *out = number;
}

void ReadValue(const YAML::Node& node, const std::string& place, int* out, Findings* findings) {
  double number = 0;
  const bool fits = node.IsScalar() && ParseNumber(node.Scalar(), &number);
  if (!fits) return findings->Add(node.Mark(), place, "not a number");
  if (number != std::floor(number)) {
    return findings->Add(node.Mark(), place, "not a whole number");
  }
  if (std::abs(number) > std::numeric_limits<int>::max()) {
    return findings->Add(node.Mark(), place, "too large");
  }
  *out = static_cast<int>(number);
}

void ReadValue(const YAML::Node& node, const std::string& place,
               std::map<std::string, std::string>* out, Findings* findings) {
  if (!node.IsMap()) return findings->Add(node.Mark(), place, "not a map");
  out->clear();
  for (const auto& field : node) {
    std::string name, value;
    ReadValue(field.first, place, &name, findings);
    ReadValue(field.second, fmt::format("{}.{}", place, name), &value, findings);
    (*out)[name] = value;
  }
}

}  // namespace pearreach::settings
