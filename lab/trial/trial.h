// The trial of many processes: starts real nodes, match workers, discovery and clients on loopback
// addresses, puts the plan's faults between them, and gathers what all of them saw and said into
// one history. It owns the processes, relays and files that it makes; it must never signal a
// process that it has not started, and never judge: checkers.h does.
#ifndef PEARREACH_LAB_TRIAL_TRIAL_H_
#define PEARREACH_LAB_TRIAL_TRIAL_H_

#include <string>

#include "lab/trial/fault.h"
#include "lab/trial/history.h"

namespace pearreach::lab {

struct TrialOptions {
  std::string program;  // pearreach
  TrialPlan plan;
  bool words = true;  // between nodes; without them what is about them is not checked
  bool zones = true;  // zones that fail are left
  bool rules = true;  // nodes agree on versions of rules; some keep them on a disk
  std::string keep;   // a folder for logs and files; empty: they are removed
};

// Throws std::runtime_error where the processes cannot be brought up.
History RunTrial(const TrialOptions& options);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_TRIAL_H_
