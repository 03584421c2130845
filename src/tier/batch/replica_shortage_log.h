// Logs, when it changes, how many partitions of a store acknowledge no change and why, and how many
// acknowledge changes on fewer replicas than usual.
#ifndef PEARREACH_SRC_TIER_BATCH_REPLICA_SHORTAGE_LOG_H_
#define PEARREACH_SRC_TIER_BATCH_REPLICA_SHORTAGE_LOG_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "common/event_loop/timers.h"
#include "tier/batch/replication.h"

namespace pearreach::batch {

// Owned by StoreServer. Not thread-safe.
class ReplicaShortageLog {
 public:
  // `required`: replicas that hold a change before it is acknowledged, where no disk is lost.
  explicit ReplicaShortageLog(std::size_t required) : required_(required) {}

  void Update(const std::vector<std::unique_ptr<PartitionReplica>>& replicas, Micros now);

 private:
  void LogWaiting(const std::vector<std::unique_ptr<PartitionReplica>>& replicas);
  void LogFewerReplicas(const std::vector<std::unique_ptr<PartitionReplica>>& replicas, Micros now);

  const std::size_t required_;
  std::ptrdiff_t waiting_ = 0;  // this and the next two: as last logged
  std::string reasons_;
  std::ptrdiff_t on_fewer_replicas_ = 0;
  Micros on_fewer_replicas_since_ = 0;
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_REPLICA_SHORTAGE_LOG_H_
