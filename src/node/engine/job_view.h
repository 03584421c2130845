// A durable job as its client sees it, in JSON. It owns the names of the fields.
#ifndef PEARREACH_SRC_NODE_ENGINE_JOB_VIEW_H_
#define PEARREACH_SRC_NODE_ENGINE_JOB_VIEW_H_

#include <string>

#include "node/engine/core.h"

namespace pearreach {

// {"id":..., "state":..., "class":..., "attempts":N} and, once it has ended, "result" or "reason"
// and "retry_after_ms".
std::string WriteJobView(const JobView& view);

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_JOB_VIEW_H_
