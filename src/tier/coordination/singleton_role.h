// One node's side of a singleton role: a task that one node at a time performs for the whole
// system. The first live node in an agreed order claims the role under an epoch, which it commits
// in the control state: the epoch is the revision of the role's key, and the key's value is the
// owner. Everything that an owner does is a change of the control state with its epoch as
// FencingToken, and the control state rejects an epoch below the greatest that it has seen. So it
// does no harm that a node that was frozen or partitioned still believes to be the owner.
//
// A deterministic state machine without clock or transport. Not thread-safe.
#ifndef PEARREACH_SRC_TIER_COORDINATION_SINGLETON_ROLE_H_
#define PEARREACH_SRC_TIER_COORDINATION_SINGLETON_ROLE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tier/coordination/chain.h"

namespace pearreach::coordination {

// The newest committed state of a role. Epoch 0: it has never had an owner.
struct SingletonRoleRecord {
  std::uint64_t epoch = 0;
  std::string owner;
};

class SingletonRole {
 public:
  // `self` names the process, not only the node: a restarted one claims the role anew.
  // `claim_interval`: the least time between two claims of this process.
  SingletonRole(std::string self, Micros claim_interval);

  // Whether this node is the first live one in the agreed order, as far as it knows.
  void SetCandidate(bool candidate) { is_candidate_ = candidate; }
  // The record in the control state; one that is older than what is known is ignored.
  void Observe(const SingletonRoleRecord& record);

  // The epoch that a claim must follow, if one is due: the caller sets the role's key to `self`
  // where its revision is this one, and calls OnClaimCompleted with the outcome.
  std::optional<std::uint64_t> NextClaim(Micros now);
  void OnClaimCompleted(ChangeStatus status, std::uint64_t revision);

  // The epoch under which this process may act; none: it is not the owner.
  std::optional<std::uint64_t> owned_epoch() const;
  const SingletonRoleRecord& record() const { return record_; }

 private:
  const std::string self_;
  const Micros claim_interval_;
  bool is_candidate_ = false, claim_in_flight_ = false;
  SingletonRoleRecord record_;
  Micros next_claim_ = 0;
};

}  // namespace pearreach::coordination

#endif  // PEARREACH_SRC_TIER_COORDINATION_SINGLETON_ROLE_H_
