// Why the primary of a partition acknowledges no change.
#ifndef PEARREACH_SRC_TIER_BATCH_WAIT_REASON_H_
#define PEARREACH_SRC_TIER_BATCH_WAIT_REASON_H_

#include <cstdint>

namespace pearreach::batch {

enum class WaitReason : std::uint8_t {
  kNone,
  kTooFewReplicas,      // in the table, and no lost disk explains it
  kLossNotMadeGood,     // a disk was lost too long ago, or it is not on record here yet
  kReplicaAway,         // with its disk
  kDiskUnchecked,       // no other store has said yet whether this disk was rolled back
  kReportedJoinerAway,  // a joiner that may become a replica at any moment
  kNotSynchronised,     // the primary starts, or reads from the control state
};

// As the log names it.
constexpr const char* NameOf(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNone:
      return "none";
    case WaitReason::kTooFewReplicas:
      return "too_few_replicas";
    case WaitReason::kLossNotMadeGood:
      return "loss_not_made_good";
    case WaitReason::kReplicaAway:
      return "replica_away";
    case WaitReason::kDiskUnchecked:
      return "disk_unchecked";
    case WaitReason::kReportedJoinerAway:
      return "reported_joiner_away";
    case WaitReason::kNotSynchronised:
      return "not_synchronised";
  }
  return "";
}

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_WAIT_REASON_H_
