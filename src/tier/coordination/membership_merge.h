// Which of two accounts of a member holds: the rules that make all nodes come to the same view,
// in whatever order they hear.
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_MERGE_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_MERGE_H_

#include "tier/coordination/membership_wire.h"

namespace pearreach::coordination {

// True for those that are taken to be there: alive and suspect.
inline bool IsLive(MemberStatus status) {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

inline bool IsSuspectOrDead(MemberStatus status) {
  return status == MemberStatus::kSuspect || status == MemberStatus::kDead;
}

// Whether `update` replaces what is known of the member (null: nothing).
bool Supersedes(const Member* known, const MemberRecord& update);

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_MERGE_H_
