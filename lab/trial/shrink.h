// Makes a plan that fails smaller: faults are dropped and shortened while it still fails. Pure but
// for what `fails` does; it must never hand back a plan that it has not seen fail.
#ifndef PEARREACH_LAB_TRIAL_SHRINK_H_
#define PEARREACH_LAB_TRIAL_SHRINK_H_

#include <functional>

#include "lab/trial/fault.h"

namespace pearreach::lab {

// `fails` plays a plan, as often as its owner wants, and says whether it failed. `most`: calls.
TrialPlan Shrink(TrialPlan plan, const std::function<bool(const TrialPlan&)>& fails, int most);

}  // namespace pearreach::lab

#endif  // PEARREACH_LAB_TRIAL_SHRINK_H_
