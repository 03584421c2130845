#include "tier/settings/policy_options.h"

#include <fstream>
#include <sstream>

#include "tier/settings/yaml_reader.h"

BOOST_HANA_ADAPT_STRUCT(pearreach::settings::PolicyOptions, wait_for_configuration,
                        wait_for_workers, offer_lots, ask_silent_stores, relay_lot_calls, told_load,
                        learn_silence, prefix_homes, pace_unread_bulk, bulk_fill);

namespace pearreach::settings {
namespace {

bool IsOption(const std::string& name) {
  bool known = false;
  boost::hana::for_each(boost::hana::keys(PolicyOptions()), [&](const auto& key) {
    known = known || name == boost::hana::to<const char*>(key);
  });
  return known;
}

}  // namespace

void ReadPolicy(const YAML::Node& node, const std::string& place, PolicyOptions* options,
                Findings* findings) {
  ReadValue(node, place, options, findings);
  if (!node.IsMap()) return;
  const std::string prefix = place.empty() ? "" : place + ".";
  for (const auto& entry : node) {
    const std::string name = entry.first.Scalar();
    if (!IsOption(name)) findings->Add(entry.first.Mark(), prefix + name, "no such option");
  }
  const bool fits = options->bulk_fill > 0 && options->bulk_fill <= 1;
  if (!fits) findings->Add(node["bulk_fill"].Mark(), prefix + "bulk_fill", "not in (0, 1]");
}

absl::StatusOr<PolicyOptions> ReadPolicyFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return absl::NotFoundError("cannot open the policy file '" + path + "'");
  std::ostringstream text;
  text << file.rdbuf();
  Findings findings;
  PolicyOptions options;
  try {
    ReadPolicy(YAML::Load(text.str()), "", &options, &findings);
  } catch (const YAML::Exception& error) {
    findings.Add(error.mark, "", error.msg);
  }
  if (!findings.empty()) return findings.ToStatus();
  return options;
}

}  // namespace pearreach::settings
