// Runs this node's ChainReplica: sends and receives its messages, writes its records to the disk,
// calls its ticks from one timer, and completes the calls that wait for its results.
// Owned by the control node. Loop thread only.
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

  // `listener` is called after each step of the replica.
  void OnStep(std::function<void()> listener) { listener_ = std::move(listener); }
  // Passes the quorum members to the replica, if they or what is known of them changed.
  void MembersChanged();
  void SetFounders(std::vector<coordination::ReplicaId> founders);

  // `done` is called exactly once, within `timeout`; kUnavailable or not ok if there was no result
  // by then. The request's ticket is assigned here.
  void Change(coordination::ChangeRequest request, Micros timeout, ChangeDone done);
  void Read(Micros timeout, ReadDone done);
  void Forget(const coordination::ReplicaId& lost);  // see ChainReplica::Forget

  bool is_head() const { return replica_.is_head(); }
  bool is_changing_view() const { return replica_.is_changing_view(); }
  const coordination::View& view() const { return replica_.view(); }
  // It is a member of the view that it knows, so that it learns of commits from the chain.
  bool InView() const;
  // It is a member of its view, but has lost contact with a majority of it.
  bool IsIsolated() const { return InView() && connectivity_->HasLostMajority(); }

 private:
  template <class Result>
  struct PendingCall {
    std::function<void(const Result&)> done;
    Timers::Id timer = 0;
  };
  template <class Result>
  using PendingCalls = std::map<std::uint64_t, PendingCall<Result>>;  // by ticket
  void Receive(const ChainEnvelope& envelope);
  void Tick();
  void ApplyEffects(coordination::Effects effects);
  void OnRecordsSynced(const std::vector<std::uint64_t>& tokens);
  void Send(const coordination::SendMessage& message);
  std::string Wrap(const std::string& bytes) const;  // the encoded ChainEnvelope
  void SendTo(const std::string& address, const coordination::SendMessage& message);
  // Sends the messages that waited until the disk was checked.
  void SendPendingMessages();
  // Adds a call that completes with an empty result after `timeout`. Returns its ticket.
  template <class Result>
  std::uint64_t AddPending(PendingCalls<Result>* calls, Micros timeout,
                           std::function<void(const Result&)> done);
  template <class Result>
  void Complete(PendingCalls<Result>* calls, const Result& result);

  TimeSource* time_;
  rpc::Transport* transport_;
  RecordWriter writer_;
  SnapshotStore* snapshots_;
  const MemberDirectory* directory_;
  QuorumConnectivity* connectivity_;
  const coordination::ReplicaId self_;
  coordination::ChainReplica replica_;
  std::function<void()> listener_;
  std::vector<coordination::Peer> peers_;  // as last passed to the replica
  // The latest ones, until the disk is checked.
  std::deque<coordination::SendMessage> pending_messages_;
  // Large messages that are not acknowledged yet, by receiver and hash of the bytes.
  std::set<std::pair<std::string, std::size_t>> large_in_flight_;
  PendingCalls<coordination::ChangeResult> pending_changes_;
  PendingCalls<coordination::ReadResult> pending_reads_;
  std::uint64_t last_ticket_ = 0;
  DeadlineTimer timer_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_REPLICA_DRIVER_H_
