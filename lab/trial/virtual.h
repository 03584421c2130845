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
#include "members/members.h"

namespace pearreach::lab {

struct VirtualOptions {
  TrialPlan plan;                             // of its faults, those of words and of nodes
  members::Options members = {};              // self, nodes and period are the plan's
  Micros way_least = 500, way_most = 18'000;  // of a word, by the platform's protocol
  double lost = 0;                            // of all words, all the time
  Micros extra = 0;                           // after the faults; 0: the stated time to agree
  bool views = true;                          // lines with what nodes hear
};

struct VirtualResult {
  History history;
  std::uint64_t words = 0, bytes = 0, most_bytes = 0;         // sent by all; of one datagram
  std::uint64_t false_suspicions = 0, false_unreachable = 0;  // of processes that ran, first hand
  Micros length = 0;
};
VirtualResult RunVirtual(const VirtualOptions& options);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_VIRTUAL_H_
