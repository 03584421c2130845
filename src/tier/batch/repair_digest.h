// The comparison of a primary's digests with a backup's own batch jobs (anti-entropy).
#ifndef PEARREACH_SRC_TIER_BATCH_REPAIR_DIGEST_H_
#define PEARREACH_SRC_TIER_BATCH_REPAIR_DIGEST_H_

#include "tier/batch/batch_job_state.h"
#include "tier/batch/replication_messages.h"

namespace pearreach::batch {

// What differs between `batch_jobs`, the backup's own state, and the primary's digests: buckets
// where `digest` has buckets, batch jobs of the listed buckets otherwise.
RepairDigestResponse CompareDigests(const BatchJobTable& batch_jobs, const RepairDigest& digest);

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_REPAIR_DIGEST_H_
