// The clock of durable jobs, and the reason of those whose time ended.
#ifndef PEARREACH_SRC_NODE_DURABLE_JOBS_JOB_TIMES_H_
#define PEARREACH_SRC_NODE_DURABLE_JOBS_JOB_TIMES_H_

#include <glib.h>

#include "node/job_state/ledger.h"

namespace pearreach {

constexpr const char* kOverdue = "its time ended";

inline job_state::UnixMicros UnixNow() { return g_get_real_time(); }

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_DURABLE_JOBS_JOB_TIMES_H_
