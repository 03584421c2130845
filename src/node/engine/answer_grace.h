// The time that the node gives the module's own answers.
#ifndef PEARREACH_SRC_NODE_ENGINE_ANSWER_GRACE_H_
#define PEARREACH_SRC_NODE_ENGINE_ANSWER_GRACE_H_

#include "common/event_loop/io.h"

namespace pearreach {

// The module answers by the deadline. What is still unanswered so long after it is failed by the
// node.
constexpr Micros kAnswerGrace = 10 * kMs;

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_ENGINE_ANSWER_GRACE_H_
