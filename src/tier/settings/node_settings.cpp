#include "tier/settings/node_settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>

#include "tier/settings/yaml_reader.h"

// What is read from the file: a new field is its line in the struct and its name here.
BOOST_HANA_ADAPT_STRUCT(pearreach::settings::Bind, edge, readiness, control);
BOOST_HANA_ADAPT_STRUCT(pearreach::settings::MachineLimits, cpu_fraction, cores, memory_mb,
                        file_limit, disk_mb, link_mbps);
BOOST_HANA_ADAPT_STRUCT(pearreach::settings::Tolerance, machines, zones, regions);
BOOST_HANA_ADAPT_STRUCT(pearreach::settings::Bounds, seed_lag_s, reuse_after_s, contact_ms, ack_ms,
                        sync_s, drain_ms, grace_s, slack_ms, apply_ms, revert_ms, stretch_ms,
                        recover_s, pass_ms, again_s, finish_s, status_s, cancel_ms, settle_ms,
                        quota_excess, quota_window_s, quota_slack, revoke_ms, revocation_closed);
BOOST_HANA_ADAPT_STRUCT(pearreach::settings::NodeSettings, node_name, role, machine_class, ip, zone,
                        region, data_path, serves, zones, bind, port_range, seed_nodes, bootstrap,
                        quorum_member, limits, tolerance, bounds, beat_ms);

namespace pearreach::settings {
namespace {

constexpr std::array<const char*, 5> kRequiredFields = {"node_name", "ip", "zone", "machine_class",
                                                        "port_range"};
constexpr int kLastPort = 65535;

void CheckRequired(const YAML::Node& root, Findings* findings) {
  for (const char* name : kRequiredFields) {
    const YAML::Node field = root[name];
    const bool given = field.IsDefined() && !field.IsNull();
    if (!given) {
      findings->Add(root.Mark(), name, "missing");
    } else if (field.IsScalar() && field.Scalar().empty()) {
      findings->Add(field.Mark(), name, "empty");
    }
  }
}

bool IsPort(int number) { return number > 0 && number <= kLastPort; }

void CheckPortRange(const YAML::Node& field, const std::vector<int>& ports, Findings* findings) {
  if (!field.IsDefined() || !field.IsSequence()) return;  // reported already
  const bool fits =
      ports.size() == 2 && IsPort(ports[0]) && IsPort(ports[1]) && ports[0] <= ports[1];
  if (!fits) findings->Add(field.Mark(), "port_range", "not a first and a last port");
}

void CheckBeat(const YAML::Node& field, double beat_ms, Findings* findings) {
  if (beat_ms > 0) return;
  findings->Add(field.Mark(), "beat_ms", "not above 0");
}

NodeSettings ReadRoot(const YAML::Node& root, Findings* findings) {
  NodeSettings settings;
  ReadValue(root, "", &settings, findings);
  if (!root.IsMap()) return settings;
  CheckRequired(root, findings);
  CheckPortRange(root["port_range"], settings.port_range, findings);
  CheckBeat(root["beat_ms"], settings.beat_ms, findings);
  const YAML::Node policy = root["policy"];
  const bool given = policy.IsDefined() && !policy.IsNull();
  if (given) ReadPolicy(policy, "policy", &settings.policy, findings);
  return settings;
}

}  // namespace

bool NodeSettings::Serves(const std::string& what) const {
  return std::find(serves.begin(), serves.end(), what) != serves.end();
}

absl::StatusOr<NodeSettings> ParseSettings(const std::string& yaml_text) {
  Findings findings;
  NodeSettings settings;
  try {
    const YAML::Node root = YAML::Load(yaml_text);
    settings = ReadRoot(root, &findings);
  } catch (const YAML::Exception& error) {
    findings.Add(error.mark, "", error.msg);
  }
  if (!findings.empty()) return findings.ToStatus();
  return settings;
}

absl::StatusOr<NodeSettings> ReadSettingsFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return absl::NotFoundError("cannot open the settings file '" + path + "'");
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad()) return absl::UnavailableError("cannot read the settings file '" + path + "'");
  return ParseSettings(text.str());
}

}  // namespace pearreach::settings
