// The body of a worker's heartbeat.
#ifndef PEARREACH_SRC_TIER_REGISTRY_HEARTBEAT_H_
#define PEARREACH_SRC_TIER_REGISTRY_HEARTBEAT_H_

#include <absl/status/statusor.h>

#include <string>

#include "common/event_loop/io.h"
#include "tier/registry/worker_table.h"

namespace pearreach::registry {

// Reads the JSON body of a heartbeat that came at `now`; spans in it become times of that clock.
// INVALID_ARGUMENT: not a JSON object, a missing field or an unknown phase.
absl::StatusOr<WorkerRecord> ParseHeartbeat(const std::string& worker_id, const std::string& json,
                                            Micros now);

}  // namespace pearreach::registry

#endif  // PEARREACH_SRC_TIER_REGISTRY_HEARTBEAT_H_
