// What the last process of this node had learned, and who keeps what this one learns.
#ifndef PEARREACH_SRC_NODE_CLI_RECALL_H_
#define PEARREACH_SRC_NODE_CLI_RECALL_H_

#include <memory>
#include <string>

#include "node/config/operator.h"
#include "node/engine/node.h"
#include "node/knowledge/saver.h"

namespace pearreach::cli {

// Hands the node what is known: `handed` (from the process before, in a hand-over) or else the
// youngest file that can be read. What cannot be read is one line and costs no start. Null: nothing
// is kept. Throws dispatch::Malformed for a key file that is none.
std::unique_ptr<knowledge::Saver> Remember(const OperatorSettings& settings, Node* node,
                                           const std::string& name, const std::string& handed);

}  // namespace pearreach::cli

#endif  // PEARREACH_SRC_NODE_CLI_RECALL_H_
