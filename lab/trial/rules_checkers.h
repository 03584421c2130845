// The checkers of rules on which nodes agree, beside those of checkers.h: pure functions over a
// history, from the lines in which nodes say what they act on. They own no state and must never
// pass what the history does not show.
#ifndef PEARREACH_LAB_TRIAL_RULES_CHECKERS_H_
#define PEARREACH_LAB_TRIAL_RULES_CHECKERS_H_

#include <string>
#include <vector>

#include "lab/trial/checkers.h"

namespace pearreach::lab {

// Stated (docs/design-rules.md): so long after the last fault all act on one version.
constexpr Micros kRulesSettled = 8'000'000;

// The longest time that two processes acted on contradicting rules, since the newer was in force:
// one on an older version alone, the other on a newer one that it has given up the older for.
// Versions of different numbers count as contradicting, whatever they say; a process that is
// stopped, or on its floor, does not act on a version.
struct Contradiction {
  Micros longest = 0, at = 0;
  std::string what;
  std::vector<std::size_t> lines;
};
Contradiction LongestContradiction(const History& history);

std::vector<Violation> RulesWithin(const History& history);
std::vector<Violation> RulesOne(const History& history);
std::vector<Violation> RulesBans(const History& history);
std::vector<Violation> RulesSettle(const History& history);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_RULES_CHECKERS_H_
