// The membership machine of many nodes in virtual time: the same words for faults as the trial of
// processes, the same form of history, the same result for the same seed. Figures are taken here,
// the truth of processes there. It owns the clock and the network between the machines.
#ifndef PEARREACH_LAB_TRIAL_VIRTUAL_H_
#define PEARREACH_LAB_TRIAL_VIRTUAL_H_

#include <functional>
#include <string>
#include <vector>

#include "lab/trial/fault.h"
#include "lab/trial/history.h"
#include "node/membership/members.h"
#include "node/shared_state/shared.h"
#include "node/zones/zones.h"

namespace pearreach::lab {

// What nodes share beside who is there, and the load that makes it: accounts' jobs, of which some
// nodes see several times the mean, and jobs sent to workers.
struct SharedLoad {
  shared_state::SharedStateOptions options = {};  // self, nodes, zone and zones are the plan's
  std::vector<double> asked;                      // of each account: jobs a second, all nodes
  Micros flood_from = 0, flood_until = 0;
  double flood = 6;   // times the first account's rate meanwhile
  double uneven = 3;  // the busiest node sees so many times the mean
  double sends = 4;   // a second, each node to each worker
  std::vector<double>
      lowered;  // shares as half of the nodes' next processes have them; may be empty
  shared_state::Budgets::DisabledGuards without = {};
  int liar = -1;  // this node says of all workers that they are silent
};

// Zones that are left and come back, beside shared state, of which they take their evidence.
struct ZoneLoad {
  zones::Options options = {};  // self, nodes, zone and zones are the plan's
  zones::ZoneFailover::DisabledGuards without = {};
  int liar = -1;           // this node holds verdicts that all zones but its own are gone
  bool lone_kind = false;  // the last zone has a kind of worker that no other has
};

struct VirtualOptions {
  TrialPlan plan;                             // of its faults, those of words and of nodes
  membership::Options members = {};           // self, nodes and period are the plan's
  Micros way_least = 500, way_most = 18'000;  // of a word, by the platform's protocol
  double lost = 0;                            // of all words, all the time
  Micros extra = 0;                           // after the faults; 0: the stated time to agree
  bool views = true;                          // lines with what nodes hear
  const SharedLoad* shared = nullptr;         // null: membership alone
  const ZoneLoad* zones = nullptr;            // null: each node for itself; wants `shared`
};

struct VirtualResult {
  History history;
  std::uint64_t words = 0, bytes = 0, most_bytes = 0;         // sent by all; of one datagram
  std::uint64_t false_suspicions = 0, false_unreachable = 0;  // of processes that ran, first hand
  Micros length = 0;
  // Of shared state: jobs, of those refused by a ceiling and within a share; readings of counts,
  // the width of their bounds over the true total (mean), and how far the estimate was off (mean).
  std::uint64_t jobs = 0, over_ceiling = 0, in_share = 0, readings = 0, settled = 0;
  double width = 0, off = 0;
  double most_parts = 0;  // of a budget's whole, the most that was ever held
  std::uint64_t sends = 0, sends_lost = 0, trials = 0;  // jobs to workers, to those that were gone
  std::uint64_t shared_words = 0, shared_bytes = 0;
  // Of zones: words, jobs that a worker got within a second while it was cold, over what it gets
  // when all is well (the most), and verdicts not raised for want of room in the rest.
  std::uint64_t zone_words = 0, zone_bytes = 0, held_back = 0;
  double most_cold = 0;
};
VirtualResult RunVirtual(const VirtualOptions& options);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_VIRTUAL_H_
