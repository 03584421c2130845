// An experiment's file: scenarios, variants of each and seeds, as XML with a schema
// (lab/experiment/experiment.xsd, part of the program). It owns the reading and the checking; it
// must never reach for another file or the network.
#ifndef PEARREACH_LAB_EXPERIMENT_SETTINGS_H_
#define PEARREACH_LAB_EXPERIMENT_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/sim/scenario.h"

namespace pearreach::lab {

// What is changed in a scenario for a variant of it.
struct Variant {
  std::string name;
  std::string policy;                                         // empty: the scenario's
  std::vector<std::pair<std::string, std::string>> settings;  // of the nodes
  int nodes = 0, workers = 0;                                 // 0: the scenario's
  double load = 0;                                            // likewise
  std::optional<Scenario::Recall> recall;                     // none: the scenario's
  Micros recall_age = 0;
  double words_lost = 0, cut_off = 0;  // of words between nodes, of the nodes
};

struct Experiment {
  std::string name, what;
  std::vector<Scenario> scenarios;
  std::vector<Variant> variants;  // the first is the one that the others are held against
  std::uint64_t first_seed = 1;
  int seeds = 5;
};

// Throws dispatch::Malformed with "NAME:LINE: what".
Experiment ReadExperiment(std::string_view xml, const std::string& name);
Experiment LoadExperiment(const std::string& path);

Scenario With(const Scenario& scenario, const Variant& variant);
// WHAT:PART:FROM:LENGTH[:FACTOR], times in seconds. Throws dispatch::Malformed.
Trouble ReadTrouble(const std::string& text);
// Throws dispatch::Malformed where a run of it makes no sense.
void CheckScenario(const Scenario& scenario);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_EXPERIMENT_SETTINGS_H_
