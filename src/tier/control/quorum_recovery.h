// Lets a quorum member go on without members that are permanently lost where no majority is left,
// by an operator's order. Nobody can tell a lost machine from one that is cut off, so the operator
// says which it is; that not both sides of a cut are told to go on is kept by the stores, a
// majority of which must vote for this member in the present view (witness_voter.h). Owned by the
// control node. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_QUORUM_RECOVERY_H_
#define PEARREACH_SRC_TIER_CONTROL_QUORUM_RECOVERY_H_

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "tier/control/member_directory.h"
#include "tier/control/messages.h"
#include "tier/control/replica_driver.h"
#include "tier/control/time_source.h"
#include "tier/coordination/chain.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

struct QuorumMemberStatus {
  coordination::ReplicaId id;
  bool live = false;  // as membership sees the machine, on this disk
};

class QuorumRecovery {
 public:
  // The stores that vote: node name and disk, the same at all members that have the same state.
  using Witnesses = std::function<std::vector<coordination::ReplicaId>()>;
  using Done = std::function<void(const absl::Status&)>;

  // `replica`: null on nodes outside the quorum. `tolerance`: members that may be lost at once.
  QuorumRecovery(TimeSource* time, rpc::Transport* transport, const MemberDirectory* directory,
                 ReplicaDriver* replica, int tolerance);

  void SetWitnesses(Witnesses witnesses) { witnesses_ = std::move(witnesses); }

  // The members of the view that this node knows. Empty on nodes outside the quorum.
  std::vector<QuorumMemberStatus> Members() const;
  std::uint64_t epoch() const { return replica_ == nullptr ? 0 : replica_->view().epoch; }

  // `done` is called once, within `timeout` microseconds. OK: a view without that member has been
  // agreed, or it is no member any more. FAILED_PRECONDITION: refused, the message says why.
  // UNAVAILABLE: not yet; the order may be repeated.
  void Forget(const std::string& member, Micros timeout, Done done);

 private:
  struct PendingOrder {
    coordination::ReplicaId lost;
    std::uint64_t epoch = 0;  // of the view that it was given in
    Micros deadline = 0;
    Done done;  // null: done
    std::size_t witnesses = 0, granted = 0, refused = 0;
  };
  using PendingOrderPtr = std::shared_ptr<PendingOrder>;

  absl::Status CheckOrder(const coordination::ReplicaId& lost) const;
  bool IsLive(const coordination::ReplicaId& member) const;
  void RequestVotes(const PendingOrderPtr& order, const std::vector<coordination::ReplicaId>& from);
  void OnVote(const PendingOrderPtr& order, const WitnessVote& vote);
  void AwaitView(const PendingOrderPtr& order);
  static void Finish(const PendingOrderPtr& order, const absl::Status& status);

  TimeSource* const time_;
  rpc::Transport* const transport_;
  const MemberDirectory* const directory_;
  ReplicaDriver* const replica_;
  const int tolerance_;
  Witnesses witnesses_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_QUORUM_RECOVERY_H_
