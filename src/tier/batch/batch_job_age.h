// How old a lot is, as far as this process can be sure: by its steady clock, from when it first
// knew the lot. The time of day may step and differs between machines, so an age by it may be too
// high, and items would be given up or lots forgotten before their time. This age never is; a
// restart begins it anew.
#ifndef PEARREACH_SRC_TIER_BATCH_BATCH_JOB_AGE_H_
#define PEARREACH_SRC_TIER_BATCH_BATCH_JOB_AGE_H_

#include "common/event_loop/io.h"
#include "tier/batch/batch_job_state.h"

namespace pearreach::batch {

// `now` of all of these is of the clock that BatchJobTable::StampNew was given. A lot that was not
// stamped yet counts as new.

// Its open items have outlived `retain_s`: they may be listed as abandoned.
bool MayAbandon(const BatchJob& batch_job, Micros now);
// Nobody may ask for it any more: its records may go. Sooner where the disk is short of room.
bool MayForget(const BatchJob& batch_job, Micros now, bool is_short);
// Milliseconds for which its items may still be run.
double RunLeftMs(const BatchJob& batch_job, Micros now);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BATCH_JOB_AGE_H_
