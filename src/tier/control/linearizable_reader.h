// Linearizable reads of the control state, which never return an older state than the newest one
// that was acknowledged before: from this node's replica or, if it has none or cannot be sure, from
// another quorum member's. An isolated quorum member reads through a node outside the quorum.
// Owned by the control node. Loop thread only.
#ifndef PEARREACH_SRC_TIER_CONTROL_LINEARIZABLE_READER_H_
#define PEARREACH_SRC_TIER_CONTROL_LINEARIZABLE_READER_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>

#include "tier/control/member_directory.h"
#include "tier/control/replica_driver.h"
#include "tier/control/snapshot_store.h"
#include "tier/control/time_source.h"
#include "tier/rpc/transport.h"

namespace pearreach::control {

class LinearizableReader {
 public:
  using Done = std::function<void(absl::StatusOr<ChangeHistoryRead>)>;
  using OptionalChangeId = std::optional<coordination::ChangeId>;

  // `replica`: null on nodes outside the quorum.
  LinearizableReader(TimeSource* time, rpc::Transport* transport, SnapshotStore* snapshots,
                     const MemberDirectory* directory, ReplicaDriver* replica);
  // `done` is called exactly once, within `timeout`: UNAVAILABLE if no member could confirm a state
  // in time. `change_id`: of a configuration whose status in the change history is to be read as
  // well.
  void Read(const OptionalChangeId& change_id, Micros timeout, Done done);
  // When the latest read that succeeded was sent: the snapshot is not older than the state of that
  // time. Empty: none has succeeded yet.
  std::optional<Micros> last_confirmation() const { return last_confirmation_; }

 private:
  struct PendingRead {
    OptionalChangeId change_id;
    Micros deadline = 0;
    Done done;
    std::size_t attempts = 0;
  };
  using PendingReadPtr = std::shared_ptr<PendingRead>;
  void Serve(std::string_view body, const rpc::Respond& respond);
  void ServeForIsolatedMember(const ReadRequest& request, const rpc::Respond& respond);
  bool IsIsolated() const;
  void StartAttempt(const PendingReadPtr& read);
  void ReadLocally(const PendingReadPtr& read, Micros timeout);
  void ReadRemotely(const PendingReadPtr& read, const Contact& contact, Micros timeout);
  void ScheduleRetry(const PendingReadPtr& read);
  void RecordConfirmation(Micros sent_at);

  TimeSource* time_;
  rpc::Transport* transport_;
  SnapshotStore* snapshots_;
  const MemberDirectory* directory_;
  ReplicaDriver* replica_;
  std::optional<Micros> last_confirmation_;
  CallbackOwner callbacks_;
};

}  // namespace pearreach::control

#endif  // PEARREACH_SRC_TIER_CONTROL_LINEARIZABLE_READER_H_
