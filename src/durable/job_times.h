// The clock of durable jobs, and the reason of those whose time ended.
#ifndef PEARREACH_SRC_DURABLE_JOB_TIMES_H_
#define PEARREACH_SRC_DURABLE_JOB_TIMES_H_

#include <glib.h>

#include "jobs/ledger.h"

namespace pearreach {

constexpr const char* kOverdue = "its time ended";

inline jobs::UnixMicros UnixNow() { return g_get_real_time(); }

}  // namespace pearreach

#endif  // PEARREACH_SRC_DURABLE_JOB_TIMES_H_
