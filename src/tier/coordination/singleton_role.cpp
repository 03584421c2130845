#include "tier/coordination/singleton_role.h"

#include <utility>

namespace pearreach::coordination {

SingletonRole::SingletonRole(std::string self, Micros claim_interval)
    : self_(std::move(self)), claim_interval_(claim_interval) {}

void SingletonRole::Observe(const SingletonRoleRecord& record) {
  if (record.epoch > record_.epoch) record_ = record;
}

std::optional<std::uint64_t> SingletonRole::NextClaim(Micros now) {
  if (!is_candidate_ || claim_in_flight_ || record_.owner == self_ || now < next_claim_)
    return std::nullopt;
  claim_in_flight_ = true;
  next_claim_ = now + claim_interval_;
  return record_.epoch;
}

// The outcome of a claim may be unknown: if it was committed, the record will show it.
void SingletonRole::OnClaimCompleted(ChangeStatus status, std::uint64_t revision) {
  claim_in_flight_ = false;
  if (status == ChangeStatus::kCommitted) Observe({revision, self_});
}

std::optional<std::uint64_t> SingletonRole::owned_epoch() const {
  if (!is_candidate_ || record_.epoch == 0 || record_.owner != self_) return std::nullopt;
  return record_.epoch;
}

}  // namespace pearreach::coordination
