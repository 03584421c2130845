// The JSON form in which clients see a durable job.
#ifndef PEARREACH_SRC_NODE_ENGINE_JOB_VIEW_H_
#define PEARREACH_SRC_NODE_ENGINE_JOB_VIEW_H_

#include <string>

#include "node/engine/core.h"

namespace pearreach {

// Returns {"id":..., "state":..., "class":..., "attempts":N} and, where they are set, "result",
// "reason" and "retry_after_ms".
std::string WriteJobView(const JobView& view);

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_JOB_VIEW_H_
