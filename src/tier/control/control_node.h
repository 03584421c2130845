// This node's part in the control plane: it runs membership, the chain replica where the node has
// one, and whatever keeps its snapshot of the control state the newest that it can learn of.
#ifndef PEARREACH_SRC_TIER_CONTROL_CONTROL_NODE_H_
#define PEARREACH_SRC_TIER_CONTROL_CONTROL_NODE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tier/control/announced_state_fetcher.h"
#include "tier/control/change_forwarder.h"
#include "tier/control/control_client.h"
#include "tier/control/control_timing.h"
#include "tier/control/initial_state_reader.h"
#include "tier/control/linearizable_reader.h"
#include "tier/control/member_directory.h"
#include "tier/control/membership_driver.h"
#include "tier/control/poll_server.h"
#include "tier/control/quorum_connectivity.h"
#include "tier/control/replica_driver.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/state_poller.h"
#include "tier/control/time_source.h"
#include "tier/settings/node_settings.h"

namespace pearreach::control {

// What a node tells others of itself. `store`: null without a disk.
coordination::MemberInfo DescribeSelf(const settings::NodeSettings& settings,
                                      const storage::TableStore* store, std::uint64_t incarnation);
// The mesh addresses of the settings' seed nodes.
std::vector<std::string> SeedAddresses(const settings::NodeSettings& settings);

class ControlNode : public ControlClient {
 public:
  // Joins at once. `store`: null without a disk. `incarnation` must rise over restarts of the node.
  // All pointers outlive this.
  ControlNode(Timers* timers, rpc::Transport* transport, storage::TableStore* store,
              const settings::NodeSettings& settings, std::uint64_t incarnation);
  ControlNode(std::unique_ptr<TimeSource> time, rpc::Transport* transport,
              storage::TableStore* store, const settings::NodeSettings& settings,
              std::uint64_t incarnation);
  ~ControlNode() override;

  // This process will end on purpose, and its disk may never come back: the view of the control
  // state should do without it. Everything goes on until Leave.
  void PrepareToShutDown();
  // The control state does not need this node: it is in a view that has begun without it, or no
  // other member is left that could take over.
  bool MayShutDown() const;
  // Tells others that this process ends on purpose. Calls are answered on.
  void Leave() { membership_.Leave(); }

  std::shared_ptr<const ControlSnapshot> Current() const override { return snapshots_.current(); }
  void OnChange(std::function<void()> listener) override;
  void Change(ControlChange change, Micros timeout, ChangeDone done) override;
  void LinearizableRead(Micros timeout, ReadDone done) override;
  void ReadWithHistory(const coordination::ChangeId& change_id, Micros timeout,
                       HistoryReadDone done) override;
  bool IsSingletonRoleCandidate() const override {
    return connectivity_.IsSingletonRoleCandidate();
  }
  const MemberMap& members() const override { return membership_.members(); }
  // Further listeners for changes of members: status, info or announced versions.
  void OnMembersChanged(MembershipDriver::Listener listener);
  // Called once if this node's disk turns out to have been put back in time: its contents must go,
  // and the process must start anew as on an empty disk.
  void OnDiskRolledBack(std::function<void()> listener) { disk_rolled_back_ = std::move(listener); }
  // What rides on this node's membership messages under that name.
  void Announce(const std::string& name, std::uint64_t version);

  bool has_replica() const { return replica_ != nullptr; }
  // As this node's replica knows it; null: it has none.
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
  bool RosterChanged(const std::vector<std::string>& names);
  void ReplicaStepped();
  void UpdatePolls();
  void SnapshotChanged();
  void TryBootstrap(bool seed_wait_over);

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
  LinearizableReader reader_;
  InitialStateReader initial_state_reader_;
  std::map<std::string, Presence> roster_;
  std::vector<MembershipDriver::Listener> member_listeners_;
  std::function<void()> disk_rolled_back_;
  bool bootstrapping_ = false;  // the first view's members are not chosen yet
  bool seed_wait_over_ = false;
  Timers::Id seed_wait_timer_ = 0;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_CONTROL_NODE_H_
