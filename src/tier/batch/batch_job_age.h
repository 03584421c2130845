// The age of a batch job, by the steady clock of this process, from when it first knew the job. The
// wall clock may step and differs between machines, so an age by it may be too high, and items
// would be abandoned or jobs forgotten before their time. This age is never too high; it starts
// anew when the process restarts. Pure functions.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_AGE_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_AGE_H_

#include "common/event_loop/io.h"
#include "tier/batch/batch_job_state.h"

namespace pearreach::batch {

// `now` of all of these is of the clock that BatchJobTable::StampNew was given. A batch job that
// was not stamped yet counts as new.

// Whether its open items have outlived `retain_s`: they may be listed as abandoned.
bool MayAbandon(const BatchJob& batch_job, Micros now);
// Whether no client may read it any more: its records may be deleted. Sooner if `is_short`, which
// says that the disk is short of space.
bool MayForget(const BatchJob& batch_job, Micros now, bool is_short);
// Milliseconds for which its items may still be run.
double RunLeftMs(const BatchJob& batch_job, Micros now);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_AGE_H_
