// How many replicas a change needs before it is acknowledged, and what the primary waits for.
#include <algorithm>

#include "tier/batch/replication.h"

namespace pearreach::batch {

std::size_t PartitionReplica::MissingReplicas() const {
  const std::size_t required = environment_->RequiredReplicas();
  return required > table_.replicas.size() ? required - table_.replicas.size() : 0;
}

// Whatever is acknowledged outlasts `tolerance` losses at once. A disk that is known to be lost is
// one of them, so only the others can still come; one that is merely away may be lost yet.
std::size_t PartitionReplica::CountLosses(LossState state) const {
  return static_cast<std::size_t>(
      std::count_if(table_.lost.begin(), table_.lost.end(),
                    [&](const StoreId& disk) { return environment_->StateOfLoss(disk) == state; }));
}

// A loss that will count in a moment is no reason to send everything at once.
bool PartitionReplica::RepairIsUrgent() const {
  const std::size_t losses = CountLosses(LossState::kCounts) + CountLosses(LossState::kUnrecorded);
  return primary_ && (MissingReplicas() > losses || AnyReplicaUnreachable());
}

bool PartitionReplica::AcknowledgesOnFewerReplicas() const {
  return primary_ && MissingReplicas() > 0 && CurrentWaitReason() == WaitReason::kNone;
}

WaitReason PartitionReplica::CurrentWaitReason() const {
  if (!primary_) return WaitReason::kNone;
  if (!HasRequiredReplicas())
    return table_.lost.empty() ? WaitReason::kTooFewReplicas : WaitReason::kLossNotMadeGood;
  if (AnyReplicaUnreachable()) return WaitReason::kReplicaAway;
  if (active_) return WaitReason::kNone;
  if (!environment_->IsDiskChecked(table_.replicas)) return WaitReason::kDiskUnchecked;
  const bool joiner_is_awaited =
      std::any_of(links_.begin(), links_.end(), [this](const auto& entry) {
        const auto& [peer, link] = entry;
        return !link->is_replica && MayTakeOver(peer, *link) && !link->streaming();
      });
  return joiner_is_awaited ? WaitReason::kReportedJoinerAway : WaitReason::kNotSynchronised;
}

}  // namespace pearreach::batch
