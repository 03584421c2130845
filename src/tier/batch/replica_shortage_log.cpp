#include "tier/batch/replica_shortage_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "tier/logging/log.h"

namespace pearreach::batch {
namespace {

using Replicas = std::vector<std::unique_ptr<PartitionReplica>>;

// Such as "replica_away=3 disk_unchecked=1".
std::string CountReasons(const Replicas& replicas) {
  std::map<WaitReason, int> counts;
  for (const auto& replica : replicas) {
    const WaitReason reason = replica->CurrentWaitReason();
    if (reason != WaitReason::kNone) ++counts[reason];
  }
  std::string text;
  for (const auto& [reason, count] : counts) {
    if (!text.empty()) text += ' ';
    text += fmt::format("{}={}", NameOf(reason), count);
  }
  return text;
}

}  // namespace

void ReplicaShortageLog::Update(const Replicas& replicas, Micros now) {
  LogWaiting(replicas);
  LogFewerReplicas(replicas, now);
}

void ReplicaShortageLog::LogWaiting(const Replicas& replicas) {
  const auto waiting = std::count_if(replicas.begin(), replicas.end(), [](const auto& replica) {
    return replica->WaitsForReplica();
  });
  std::string reasons = CountReasons(replicas);
  if (waiting == waiting_ && reasons == reasons_) return;
  waiting_ = waiting;
  reasons_ = std::move(reasons);
  logging::Info("batch", "changes wait for replicas",
                {logging::F("partitions", waiting_), logging::F("required", required_),
                 logging::F("reasons", reasons_)});
}

void ReplicaShortageLog::LogFewerReplicas(const Replicas& replicas, Micros now) {
  const auto partitions = std::count_if(replicas.begin(), replicas.end(), [](const auto& replica) {
    return replica->AcknowledgesOnFewerReplicas();
  });
  if (partitions == on_fewer_replicas_) return;
  if (on_fewer_replicas_ == 0) on_fewer_replicas_since_ = now;
  on_fewer_replicas_ = partitions;
  logging::Info("batch", "changes are acknowledged on fewer replicas, as disks are lost",
                {logging::F("partitions", partitions),
                 logging::F("for_ms", (now - on_fewer_replicas_since_) / kMs)});
}

}  // namespace pearreach::batch
