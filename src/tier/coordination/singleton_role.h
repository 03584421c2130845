// One node's part in a duty that one node at a time does for the whole system. The first live node
// in an agreed order takes the duty under an epoch, which the taker commits in the control state:
// the epoch is the revision of the duty's key, and the key's value names the holder. Everything
// that a holder does is a change of the control state that carries its epoch (Fence), and the
// control state refuses an epoch below the greatest that it has seen. So it does not matter that a
// node that was frozen or cut off still takes itself for the holder.
//
// A pure machine: no clock, no transport.
#ifndef PEARREACH_SRC_TIER_COORDINATION_SINGLETON_ROLE_H_
#define PEARREACH_SRC_TIER_COORDINATION_SINGLETON_ROLE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tier/coordination/chain.h"

namespace pearreach::coordination {

// The newest committed state of a duty. Epoch 0: nobody has taken it yet.
struct SingletonRoleRecord {
  std::uint64_t epoch = 0;
  std::string owner;
};

class SingletonRole {
 public:
  // `self` names the process, not only the node: a restarted one takes the duty anew. `pause`:
  // between two claims of this process.
  SingletonRole(std::string self, Micros claim_interval);

  // Whether this node is the first live one in the agreed order, as far as it knows.
  void SetCandidate(bool candidate) { is_candidate_ = candidate; }
  // What the control state says; an older record than one that is known is passed over.
  void Observe(const SingletonRoleRecord& record);

  // The epoch that a claim must follow, if one is due: the caller sets the duty's key to `self`
  // where its revision is this one, and says how that ended.
  std::optional<std::uint64_t> NextClaim(Micros now);
  void OnClaimCompleted(ChangeStatus status, std::uint64_t revision);

  // The epoch under which this process may act; none: it may not.
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
