// Reads YAML into structs that are described to Boost.Hana: each member from the field of its name.
// A new kind of member is one more overload of ReadValue.
#ifndef PEARREACH_SRC_TIER_SETTINGS_YAML_READER_H_
#define PEARREACH_SRC_TIER_SETTINGS_YAML_READER_H_

#include <yaml-cpp/yaml.h>

#include <boost/hana.hpp>
#include <map>
#include <string>
#include <vector>

#include "tier/settings/findings.h"

namespace pearreach::settings {

// Each leaves `out` as it is and adds a finding where the node does not fit.
void ReadValue(const YAML::Node& node, const std::string& place, std::string* out,
               Findings* findings);
void ReadValue(const YAML::Node& node, const std::string& place, bool* out, Findings* findings);
void ReadValue(const YAML::Node& node, const std::string& place, int* out, Findings* findings);
void ReadValue(const YAML::Node& node, const std::string& place, double* out, Findings* findings);
void ReadValue(const YAML::Node& node, const std::string& place,
               std::map<std::string, std::string>* out, Findings* findings);

template <class Element>
void ReadValue(const YAML::Node& node, const std::string& place, std::vector<Element>* out,
               Findings* findings) {
  if (!node.IsSequence()) return findings->Add(node.Mark(), place, "not a list");
  out->clear();
  for (std::size_t i = 0; i < node.size(); ++i) {
    Element element{};
    ReadValue(node[i], place + "[" + std::to_string(i) + "]", &element, findings);
    out->push_back(std::move(element));
  }
}

// A struct: fields that are absent or null keep their defaults, unknown ones are passed over.
template <class Struct>
requires boost::hana::Struct<Struct>::value void ReadValue(const YAML::Node& node,
                                                           const std::string& place, Struct* out,
                                                           Findings* findings) {
  if (!node.IsMap()) {
    return findings->Add(node.Mark(), place, "not a map");
  }
  boost::hana::for_each(boost::hana::accessors<Struct>(), [&](const auto& accessor) {
    const std::string name = boost::hana::to<const char*>(boost::hana::first(accessor));
    const YAML::Node field = node[name];
    if (!field.IsDefined() || field.IsNull()) return;
    auto& member = boost::hana::second(accessor)(*out);
    ReadValue(field, place.empty() ? name : place + "." + name, &member, findings);
  });
}

}  // namespace pearreach::settings

#endif  // PEARREACH_SRC_TIER_SETTINGS_YAML_READER_H_
