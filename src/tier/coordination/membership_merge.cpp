#include "tier/coordination/membership_merge.h"

namespace pearreach::coordination {

bool Supersedes(const Member* known, const MemberRecord& update) {
  if (known == nullptr) return true;
  if (update.info.incarnation != known->info.incarnation) {
    return update.info.incarnation > known->info.incarnation;
  }
  if (known->status == MemberStatus::kLeft) return false;
  if (update.status == MemberStatus::kLeft) return true;
  if (update.refutations != known->refutations) return update.refutations > known->refutations;
  return update.status > known->status;
}

}  // namespace pearreach::coordination
