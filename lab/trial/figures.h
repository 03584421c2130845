// What ways of knowing who is there cost and give, in virtual time: this program's machine, the
// same without Lifeguard, plain heartbeats from all to all, and phi accrual on such heartbeats. It
// owns the comparison; nothing in the program uses it.
#ifndef PEARREACH_LAB_TRIAL_FIGURES_H_
#define PEARREACH_LAB_TRIAL_FIGURES_H_

#include <string>
#include <vector>

#include "lab/trial/virtual.h"

namespace pearreach::lab {

struct WayFigures {
  std::string way;
  int nodes = 0;
  double lost = 0;              // part of all words
  double words = 0, bytes = 0;  // sent by a node in a second, without the headers of UDP and IP
  // Of deaths, in seconds: until the first of the others calls it unreachable, and the last.
  double first_mean = 0, first_most = 0, all_mean = 0, all_most = 0;
  int deaths = 0, unnoticed = 0;
  // Of processes that run, a node and hour: suspicions first hand, and calls of unreachable.
  double suspicions = 0, unreachable = 0;
};

struct FiguresOptions {
  std::string way = "lifeguard";  // or swim, heartbeat, phi
  int nodes = 9;
  double lost = 0;
  Micros period = 500'000;
  int deaths = 10;            // one run each
  Micros calm = 120'000'000;  // of each run, before the death
  std::uint64_t seed = 1;
};
WayFigures Measure(const FiguresOptions& options);

// What sharing state costs and gives, in virtual time: three accounts, of which the first floods
// and the busiest node sees three times the mean; a worker of twelve falls silent for a while.
struct SharedFigures {
  double words = 0, bytes = 0;  // sent by a node in a second
  double width = 0, off = 0;    // of a count: its bound, the estimate's error; over the true total
  double in_share = 0;          // jobs taken at full worth, over what the shares allow
  double over_ceiling = 0;      // jobs refused by a ceiling, of all
  double sends_lost = 0;        // jobs sent to the silent worker, by a node
  double most_parts = 0;        // of a whole, the most that all held together
  std::size_t violations = 0;
  std::string first;  // of them
};
struct SharedCase {
  int nodes = 9;
  double lost = 0;
  bool lends = true;     // else each node has its even part for good
  bool judges = true;    // else each node learns of workers alone
  bool cut_off = false;  // a third of the nodes, for 10 s
  std::uint64_t seed = 1;
};
SharedFigures Measure(const SharedCase& c);

// What leaving a zone gives, in virtual time: a zone of three is lost for ten seconds and comes
// back cold; times are seconds since it was lost, or since it was back.
struct ZoneFigures {
  double first = 0, last = 0;  // node that left it
  int left = 0;                // nodes that did
  double whole = 0;            // until all use it whole again; 0: not within the time
  double sends_lost = 0;       // jobs sent there meanwhile, by a node
  double most_cold = 0;        // jobs that a cold worker got in a second, over the usual
  double bytes = 0;            // words about zones, a node and second
  std::size_t violations = 0;  // of the checkers of zones
};
struct ZoneCase {
  int nodes = 9, workers = 12;
  double lost = 0;    // of all words
  bool fleet = true;  // false: each node for itself, with shared judgements
  bool fails = true;  // false: nothing does, a fifth of all workers across zones is silent
  std::uint64_t seed = 1;
};
ZoneFigures Measure(const ZoneCase& c);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_FIGURES_H_
