// Which quorum members hear one another directly. Membership knows of a node also through others,
// so a member that is cut off from the rest of the quorum alone looks alive to everybody; the
// members of a view therefore ask one another for a sign, and learn with it whom the other hears.
#ifndef PEARREACH_SRC_TIER_CONTROL_QUORUM_CONNECTIVITY_H_
#define PEARREACH_SRC_TIER_CONTROL_QUORUM_CONNECTIVITY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "tier/control/control_timing.h"
#include "tier/control/disk_rollback_detector.h"
#include "tier/control/member_directory.h"
#include "tier/control/messages.h"
#include "tier/control/time_source.h"
#include "tier/coordination/chain.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

class QuorumConnectivity {
 public:
  QuorumConnectivity(TimeSource* time, rpc::Transport* transport, const MemberDirectory* directory,
                     const ControlTiming& timing);
  ~QuorumConnectivity();

  // Begins to ask; `checked` is called after each round.
  void Start(std::function<void()> listener);
  // Asks now instead of at the next time: something has changed that the others should know, or of
  // whom to ask.
  void SendHeartbeatsNow();
  // After each step of the replica.
  void Update(bool is_head, bool is_agreeing, const coordination::View& view);

  // From now on questions and answers tell that this node leaves.
  void SetDraining();
  // That member has said that it leaves; of this node too.
  bool IsDraining(const std::string& name) const;
  // All members of the present view know that this node leaves, and none is about to agree on
  // another view, into which it might have been taken before they knew.
  bool IsDrained() const;
  // What is known of disks rides on the signs.
  DiskRollbackDetector& disk() { return disk_; }
  // Until then this node's replica says nothing.
  bool IsDiskChecked() { return disk_.IsChecked(view_); }
  // The answer to another member's question for a sign.
  std::string HandleHeartbeat(const ChainEnvelope& request);
  // A majority of the view is known to hear less than a majority in common with that member.
  bool IsUnreachable(const std::string& name) const;
  // This node has just heard a majority of the view, itself among it where it is a member.
  bool ReachesMajority() const;
  // It did once in this process's life, and does no longer: it is cut off from the others.
  bool HasLostMajority() const { return had_majority_ && !ReachesMajority(); }
  // The same, and it is the head.
  bool IsSingletonRoleCandidate() const { return is_head_ && ReachesMajority(); }

 private:
  struct PeerState {
    Micros sent_at = 0;                       // when the last answered question was sent
    std::set<std::string> reachable_members;  // what that answer says
    std::uint64_t epoch = 0;
    bool agreeing = false;
  };
  void SendHeartbeats();
  void SetPeerDraining(const std::string& name, bool draining);
  // `disk_use_sent`: the question told of this process's start.
  void OnHeartbeatResponse(const std::string& name, Micros sent_at, bool disk_use_sent,
                           const absl::StatusOr<std::string>& response);
  const PeerState* FindRecent(const std::string& name, Micros span) const;
  bool IsReachableByMembership(const std::string& name, Micros span) const;

  TimeSource* time_;
  rpc::Transport* transport_;
  const MemberDirectory* directory_;
  const ControlTiming timing_;
  std::function<void()> listener_;
  bool is_head_ = false, is_agreeing_ = false, had_majority_ = false;
  std::optional<Micros> draining_since_;
  std::set<std::string> draining_peers_;  // other members
  coordination::View view_;
  std::map<std::string, PeerState> peer_states_;
  DiskRollbackDetector disk_;
  Timers::Id timer_ = 0;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_QUORUM_CONNECTIVITY_H_
