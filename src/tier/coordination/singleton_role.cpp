#include "tier/coordination/singleton_role.h"

#include <utility>

namespace pearreach::coordination {

SingletonRole::SingletonRole(std::string self, Micros pause)
    : self_(std::move(self)), pause_(pause) {}

void SingletonRole::Observe(const SingletonRoleRecord& record) {
  if (record.epoch > record_.epoch) record_ = record;
}

std::optional<std::uint64_t> SingletonRole::NextClaim(Micros now) {
  if (!first_ || claiming_ || record_.holder == self_ || now < next_claim_) return std::nullopt;
  claiming_ = true;
  next_claim_ = now + pause_;
  return record_.epoch;
}

// A claim of which nothing is known shows in the record, if it has come into force.
void SingletonRole::OnClaimCompleted(ChangeStatus status, std::uint64_t revision) {
  claiming_ = false;
  if (status == ChangeStatus::kCommitted) Observe({revision, self_});
}

std::optional<std::uint64_t> SingletonRole::owned_epoch() const {
  if (!first_ || record_.epoch == 0 || record_.holder != self_) return std::nullopt;
  return record_.epoch;
}

}  // namespace pearreach::coordination
