// Runs this node's ChainReplica: its messages over the mesh, its records on the disk, its ticks on
// one timer, and the calls that wait for its results.
#ifndef PEARREACH_SRC_TIER_CONTROL_REPLICA_DRIVER_H_
#define PEARREACH_SRC_TIER_CONTROL_REPLICA_DRIVER_H_

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tier/control/deadline_timer.h"
#include "tier/control/member_directory.h"
#include "tier/control/quorum_connectivity.h"
#include "tier/control/record_writer.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"
#include "tier/coordination/chain.h"
#include "tier/rpc/transport.h"
#include "tier/storage/table_store.h"

namespace pearreach::control {

class ReplicaDriver {
 public:
  using ChangeDone = std::function<void(const coordination::ChangeResult&)>;
  using ReadDone = std::function<void(const coordination::ReadResult&)>;

  ReplicaDriver(TimeSource* time, rpc::Transport* transport, storage::TableStore* store,
                SnapshotStore* snapshots, const MemberDirectory* directory,
                QuorumConnectivity* connectivity, coordination::ChainOptions options,
                std::uint64_t seed);
  ~ReplicaDriver();

  // Called after each step of the replica.
  void OnStep(std::function<void()> listener) { listener_ = std::move(listener); }
  // Tells the replica of the quorum members, if they changed.
  void MembersChanged();
  void SetFounders(std::vector<coordination::ReplicaId> founders);

  // `done` is called exactly once, within `timeout`; kUnavailable and not ok if nothing came.
  // The request's ticket is given here.
  void Change(coordination::ChangeRequest request, Micros timeout, ChangeDone done);
  void Read(Micros timeout, ReadDone done);

  bool is_head() const { return replica_.is_head(); }
  bool is_agreeing() const { return replica_.is_agreeing(); }
  const coordination::View& view() const { return replica_.view(); }
  // It takes part in the view that it knows, so that it learns of commits by itself.
  bool InView() const;

 private:
  struct PendingChange {
    ChangeDone done;
    Timers::Id timer = 0;
  };
  struct PendingRead {
    ReadDone done;
    Timers::Id timer = 0;
  };
  void Receive(const ChainEnvelope& envelope);
  void Tick();
  void ApplyEffects(coordination::Effects effects);
  void OnRecordsSynced(const std::vector<std::uint64_t>& tokens);
  void Send(const coordination::SendMessage& message);
  void SendTo(const std::string& address, const coordination::SendMessage& message);
  // What waited until the disk was checked.
  void SendPendingMessages();
  void Finish(const coordination::ChangeResult& result);
  void Finish(const coordination::ReadResult& result);

  TimeSource* time_;
  rpc::Transport* transport_;
  RecordWriter writer_;
  SnapshotStore* snapshots_;
  const MemberDirectory* directory_;
  QuorumConnectivity* connectivity_;
  const coordination::ReplicaId self_;
  coordination::ChainReplica replica_;
  std::function<void()> listener_;
  std::vector<coordination::Peer> peers_;                   // as last told
  std::deque<coordination::SendMessage> pending_messages_;  // until the disk is checked; the latest
  // Large messages that their receivers have not taken yet: by receiver and hash of the bytes.
  std::set<std::pair<std::string, std::size_t>> large_in_flight_;
  std::map<std::uint64_t, PendingChange> pending_changes_;
  std::map<std::uint64_t, PendingRead> pending_reads_;
  std::uint64_t last_ticket_ = 0;
  DeadlineTimer timer_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_REPLICA_DRIVER_H_
