// The number of a worker in what nodes tell one another: the same at every node.
#ifndef PEARREACH_SRC_NODE_FLEET_WORKER_KEY_H_
#define PEARREACH_SRC_NODE_FLEET_WORKER_KEY_H_

#include <xxhash.h>

#include <string>

#include "node/shared_state/judgements.h"

namespace pearreach {

inline shared_state::WorkerKey KeyOf(const std::string& worker) {
  return XXH32(worker.data(), worker.size(), 0);
}

}  // namespace pearreach

#endif  // PEARREACH_SRC_NODE_FLEET_WORKER_KEY_H_
