// The checkers of a trial: each a pure function from a history to what in it must not be. A new
// subsystem adds its own to the one table. They own no state and read nothing but the history; a
// checker must never pass what it cannot see: where the history lacks what it needs, it says so.
#ifndef PEARREACH_LAB_TRIAL_CHECKERS_H_
#define PEARREACH_LAB_TRIAL_CHECKERS_H_

#include <string>
#include <vector>

#include "lab/trial/history.h"

namespace pearreach::lab {

struct Violation {
  std::string rule;  // the checker's name
  Micros at = 0;
  std::string what;
  std::vector<std::size_t> lines;  // of the history: what the processes said and did
};

struct Checker {
  const char* name;
  const char* what;
  std::vector<Violation> (*check)(const History& history);
};
const std::vector<Checker>& Checkers();

// The membership's stated bounds (docs/design-peers.md): by when all that are there know that a
// node has gone, and by when all agree once no fault is at work.
Micros NoticeWithin(int nodes, Micros period);
Micros AgreementWithin(int nodes, Micros period);
// No worker is out of use by what others say so long after the last fault.
Micros JudgementsGoneWithin();

// By time. `history` must be sorted.
std::vector<Violation> CheckAll(const History& history);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_CHECKERS_H_
