// Which quorum members reach one another directly. Membership also learns of a node through others,
// so a member that is partitioned from the rest of the quorum alone still looks alive to everybody.
// The members of a view therefore exchange heartbeats, whose responses name the members that the
// responding one reaches.
// Owned by the control node. Loop thread only.
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

  // Starts the heartbeats. `listener` is called after each period, and when what is known of a
  // peer's draining or of this node's disk has changed.
  void Start(std::function<void()> listener);
  // Sends heartbeats now instead of at the next period, as something has changed that the peers
  // should know, or the peers have. Does nothing before Start.
  void SendHeartbeatsNow();
  // To be called after each step of the replica.
  void Update(bool is_head, bool is_agreeing, const coordination::View& view);

  // From now on requests and responses announce that this process is draining.
  void SetDraining();
  // The view should do without that member, which may be this one: it has announced that it is
  // draining, or that its disk takes no writes.
  bool IsDraining(const std::string& name) const;
  // All members of the current view know that this node is draining, and none takes part in an
  // agreement on another view, which might still include this node.
  bool IsDrained() const;
  // Fed by the heartbeats, which carry what is known of the members' disks.
  DiskRollbackDetector& disk() { return disk_; }
  // Until then this node's replica neither sends nor processes messages.
  bool IsDiskChecked() { return disk_.IsChecked(view_); }
  // The encoded HeartbeatResponse to another member's heartbeat.
  std::string HandleHeartbeat(const ChainEnvelope& request);
  // This node's disk takes writes: it may take part in committing a change.
  bool TakesWrites() const { return disk_.TakesWrites(); }
  // A majority of the view has reported lately, and even if all others reached that member, it
  // would be reached by no majority.
  bool IsUnreachable(const std::string& name) const;
  // This node has lately had contact with a majority of the view, itself included if it is a
  // member.
  bool ReachesMajority() const;
  // It reached a majority once in this process's lifetime, and does no longer.
  bool HasLostMajority() const { return had_majority_ && !ReachesMajority(); }
  // It reaches a majority and is the head.
  bool IsSingletonRoleCandidate() const { return is_head_ && ReachesMajority(); }

 private:
  struct PeerState {
    Micros sent_at = 0;                       // when the request of the last response was sent
    std::set<std::string> reachable_members;  // as in that response
    std::uint64_t epoch = 0;
    bool agreeing = false;
  };
  void SendHeartbeats();
  bool ShouldLeaveView() const { return draining_since_.has_value() || !TakesWrites(); }
  void LogDiskChange();
  void SetPeerDraining(const std::string& name, bool draining);
  // `disk_use_sent`: the request contained the disk use of this process.
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
  bool took_writes_ = true;  // as last logged
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
