// Which of two records of a member wins: the rules by which all nodes converge to the same view, in
// whatever order the records arrive. Pure functions.
#ifndef PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_MERGE_H_
#define PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_MERGE_H_

#include "tier/coordination/membership_wire.h"

namespace pearreach::coordination {

// Suspects still count as live: they may refute.
inline bool IsLive(MemberStatus status) {
  return status == MemberStatus::kAlive || status == MemberStatus::kSuspect;
}

inline bool IsSuspectOrDead(MemberStatus status) {
  return status == MemberStatus::kSuspect || status == MemberStatus::kDead;
}

// Whether `update` replaces what is known about the member (null: nothing).
bool Supersedes(const Member* known, const MemberRecord& update);

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_MEMBERSHIP_MERGE_H_
