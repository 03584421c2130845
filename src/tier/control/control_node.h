// This node's part of the control plane: runs membership, the chain replica if the node is a quorum
// member, and the parts that keep the local snapshot of the control state the newest that it can
// learn of. Owns them all. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONTROL_NODE_H_
#define PEARREACH_SRC_TIER_CONTROL_CONTROL_NODE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tier/control/announced_state_fetcher.h"
#include "tier/control/change_forwarder.h"
#include "tier/control/configuration_confirmer.h"
#include "tier/control/control_client.h"
#include "tier/control/control_timing.h"
#include "tier/control/initial_state_reader.h"
#include "tier/control/linearizable_reader.h"
#include "tier/control/member_directory.h"
#include "tier/control/membership_driver.h"
#include "tier/control/poll_server.h"
#include "tier/control/quorum_connectivity.h"
#include "tier/control/quorum_recovery.h"
#include "tier/control/replica_driver.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/state_poller.h"
#include "tier/control/time_source.h"
#include "tier/settings/node_settings.h"

namespace pearreach::control {

// What a node announces of itself to the others. `store`: null without a disk.
coordination::MemberInfo DescribeSelf(const settings::NodeSettings& settings,
                                      const storage::TableStore* store, std::uint64_t incarnation);
// The transport addresses of the settings' seed nodes.
std::vector<std::string> SeedAddresses(const settings::NodeSettings& settings);

class ControlNode : public ControlClient {
 public:
  // Joins at once. `store`: null without a disk. `incarnation` must increase over restarts of the
  // node. All pointers must outlive this.
  ControlNode(Timers* timers, rpc::Transport* transport, storage::TableStore* store,
              const settings::NodeSettings& settings, std::uint64_t incarnation);
  ControlNode(std::unique_ptr<TimeSource> time, rpc::Transport* transport,
              storage::TableStore* store, const settings::NodeSettings& settings,
              std::uint64_t incarnation);
  ~ControlNode() override;

  // Starts draining: this process will end, and its disk may never come back, so the members should
  // agree on a view without it. The node works on until Leave.
  void PrepareToShutDown();
  // The control state does not need this node any more: a view without it has committed a state, or
  // no other member is left that could take over.
  bool MayShutDown() const;
  // Announces to the membership that this process ends. It still responds to calls.
  void Leave() { membership_.Leave(); }

  std::shared_ptr<const ControlSnapshot> Current() const override { return snapshots_.current(); }
  void OnChange(std::function<void()> listener) override;
  void Change(ControlChange change, Micros timeout, ChangeDone done) override;
  void LinearizableRead(Micros timeout, ReadDone done) override;
  void ReadWithHistory(const coordination::ChangeId& change_id, Micros timeout,
                       HistoryReadDone done) override;
  bool IsConfigurationConfirmed() const override { return confirmer_.IsConfirmed(); }
  bool MayReadLateMessages() const override { return membership_.stalls().MayReadLateMessages(); }
  bool IsSingletonRoleCandidate() const override {
    return connectivity_.IsSingletonRoleCandidate();
  }
  const MemberMap& members() const override { return membership_.members(); }
  // Takes over how long a confirmation of the configuration holds.
  void SetRevocationBounds(const settings::Bounds& bounds);
  // Further listeners for changes of members: status, info or announced versions.
  void OnMembersChanged(MembershipDriver::Listener listener);
  // `listener` is called once if this node's disk turns out to be rolled back: its contents must be
  // removed, and the process must restart with an empty disk.
  void OnDiskRolledBack(std::function<void()> listener) { disk_rolled_back_ = std::move(listener); }
  // Announces the version of `name` with this node's membership messages.
  void Announce(const std::string& name, std::uint64_t version);

  QuorumRecovery& quorum_recovery() { return quorum_recovery_; }
  bool has_replica() const { return replica_ != nullptr; }
  // The view of this node's replica; null if it has none.
  const coordination::View* view() const { return replica_ ? &replica_->view() : nullptr; }

 private:
  struct Presence {
    bool live = false;
    std::uint64_t incarnation = 0;
    bool operator==(const Presence&) const = default;
  };
  std::unique_ptr<ReplicaDriver> MakeReplica(rpc::Transport* transport, storage::TableStore* store,
                                             const settings::NodeSettings& settings,
                                             std::uint64_t seed);
  void Start();
  void MembersChanged(const std::vector<std::string>& names);
  // True: a member came, went or restarted.
  bool UpdateRoster(const std::vector<std::string>& names);
  void ReplicaStepped();
  void UpdatePolls();
  void SnapshotChanged();
  // Chooses the first view's members, if that can be decided.
  void BootstrapIfDecided(bool seed_wait_over);

  std::unique_ptr<TimeSource> time_;
  const coordination::MemberInfo self_;
  const std::vector<std::string> seeds_;
  const ControlTiming timing_;
  SnapshotStore snapshots_;
  MembershipDriver membership_;
  MemberDirectory directory_;
  QuorumConnectivity connectivity_;
  std::unique_ptr<ReplicaDriver> replica_;  // null: not a quorum member
  PollServer poll_server_;
  StatePoller poller_;
  AnnouncedStateFetcher state_fetcher_;
  ChangeForwarder change_forwarder_;
  QuorumRecovery quorum_recovery_;
  LinearizableReader reader_;
  ConfigurationConfirmer confirmer_;
  InitialStateReader initial_state_reader_;
  std::map<std::string, Presence> roster_;
  std::vector<MembershipDriver::Listener> member_listeners_;
  std::function<void()> disk_rolled_back_;
  bool bootstrapping_ = false;  // the first view's members are still to be chosen
  bool seed_wait_over_ = false;
  Timers::Id seed_wait_timer_ = 0;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONTROL_NODE_H_
