// The mechanisms by which a node decides, each with its switch: for measurements, which play a day
// with one of them off. Operators leave the section `policy` out; docs/policy-measured.md tells
// what each is worth.
#ifndef PEARREACH_SRC_TIER_SETTINGS_POLICY_OPTIONS_H_
#define PEARREACH_SRC_TIER_SETTINGS_POLICY_OPTIONS_H_

#include <absl/status/statusor.h>

#include <string>

namespace YAML {
class Node;
}

namespace pearreach::settings {

class Findings;

struct PolicyOptions {
  bool wait_for_configuration = true;  // requests that come before the first state are held
  bool wait_for_workers = true;   // after a start of all nodes requests wait for workers to call
  bool offer_lots = true;         // a batch job's stores and quota are asked before it is sent
  bool ask_silent_stores = true;  // the placement duty asks stores that were reported as silent
  bool relay_lot_calls = true;    // calls to stores go round a cut, through other nodes
  bool told_load = true;          // what workers tell in their heads counts in the choice
  bool learn_silence = true;      // a plain request leaves a silent worker by what was seen
  bool prefix_homes = true;       // large shared prompts go to the workers that keep them
  bool pace_unread_bulk = true;   // items with unread prompts are paced
  double bulk_fill = 0.85;        // share of this node's part of the slots that items may use
};

// Adds a finding for each name that is none and each value that does not fit.
void ReadPolicy(const YAML::Node& node, const std::string& place, PolicyOptions* options,
                Findings* findings);
// A file that holds such a section alone.
absl::StatusOr<PolicyOptions> ReadPolicyFile(const std::string& path);

}  // namespace pearreach::settings

#endif  // PEARREACH_SRC_TIER_SETTINGS_POLICY_OPTIONS_H_
