// The agreement about versions of the rules, of many nodes in virtual time: machines of src/rules,
// the words between them, faults of words and of processes by the trial's plan, clocks that are
// ahead or run fast, disks or none. Proposals are made all the while, and at every moment what the
// nodes act on is held against each other. It owns the clock, the network and the truth; it must
// never let a machine see any of them but through its own clock and words.
#ifndef PEARREACH_LAB_TRIAL_RULES_VIRTUAL_H_
#define PEARREACH_LAB_TRIAL_RULES_VIRTUAL_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "lab/trial/fault.h"
#include "node/rules/rules.h"

namespace pearreach::lab {

struct RulesPlan {
  TrialPlan plan;               // its faults of words and of processes
  rules::Options options = {};  // self and nodes are the plan's
  rules::Consensus::DisabledGuards without = {};
  double lost = 0;  // of all words, all the time
  Micros way_least = 500, way_most = 18'000;
  bool disks = false;                // what is kept outlives a process
  Micros ahead = 0;                  // clocks differ by up to so much,
  double drift = 0;                  // and the first node's runs faster by that share
  Micros propose_every = 1'500'000;  // 0: none but `at` has
  Micros settle = 8'000'000;         // after the faults, without proposals
  int old_node = -1;                 // its program reads no schema but the first
  bool nobody_heard = false;         // all voters stay away after the faults: floors
  int kill_after = 0;                // a proposer dies after so many of its writes; 0: never
  // Orders at moments of their own.
  struct Call {
    Micros at = 0;
    std::function<void(rules::Consensus* node, Micros clock)> call;
    int node = 0;
  };
  std::vector<Call> calls = {};
};

struct RulesResult {
  int proposed = 0, chosen = 0, lost = 0, open = 0, no_majority = 0, refused = 0;
  std::uint64_t versions = 0;  // of the latest number that was acted on
  Micros longest = 0;          // that two processes acted on contradicting rules, since the
                               // newer was in force
  Micros unheard = 0;          // the same with a node on its floor, which cannot know of bans
  std::vector<Micros> each;    // of every pair of versions that were ever in contradiction
  int forks = 0;               // two documents chosen under one epoch and number
  int forgotten = 0;           // versions acted on, and not there in the end
  bool agreed = false;         // in the end all act on one version
  double floors = 0;           // share of the nodes' time on the floor, once begun
  std::vector<Micros> to_all;  // from a proposal to when all running nodes had its version
  std::uint64_t words = 0, bytes = 0, most_bytes = 0, busiest_bytes = 0;
  Micros length = 0;
  std::vector<std::string> lines;  // what happened, for people
};

RulesResult RunRules(const RulesPlan& plan);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_RULES_VIRTUAL_H_
