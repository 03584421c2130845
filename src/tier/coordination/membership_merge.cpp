#include "tier/coordination/membership_merge.h"

namespace pearreach::coordination {

bool Supersedes(const Member* known, const MemberRecord& news) {
  if (known == nullptr) return true;
  if (news.info.incarnation != known->info.incarnation) {
    return news.info.incarnation > known->info.incarnation;
  }
  if (known->status == MemberStatus::kLeft) return false;
  if (news.status == MemberStatus::kLeft) return true;
  if (news.refutations != known->refutations) return news.refutations > known->refutations;
  return news.status > known->status;
}

}  // namespace pearreach::coordination
