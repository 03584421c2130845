// How long the node waits for the Dispatcher's answer after a job's deadline.
#ifndef PEARREACH_SRC_NODE_ENGINE_ANSWER_GRACE_H_
#define PEARREACH_SRC_NODE_ENGINE_ANSWER_GRACE_H_

#include "common/event_loop/io.h"

namespace pearreach {

// The Dispatcher answers each job by its deadline. The node itself fails a job that is still
// unanswered this long after the deadline.
constexpr Micros kAnswerGrace = 10 * kMs;

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_ANSWER_GRACE_H_
