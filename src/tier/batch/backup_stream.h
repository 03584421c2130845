// A backup's position in the stream of changes that its primary sends.
#ifndef PEARREACH_SRC_TIER_BATCH_BACKUP_STREAM_H_
#define PEARREACH_SRC_TIER_BATCH_BACKUP_STREAM_H_

#include <cstdint>
#include <set>

#include "tier/batch/replication_messages.h"

namespace pearreach::batch {

// Decides which messages of a primary a backup may apply. Late messages of an earlier process or
// synchronisation of the primary are rejected, so that they can't undo what came after them.
//
// Owned by PartitionReplica. Not thread-safe; no clock, no I/O.
class BackupStream {
 public:
  // Whether `scope` names the synchronisation in progress. With `starts_attempt` a new one of the
  // same process, or the first one of an unknown process, is adopted and the stream closed.
  ReplicaVerdict CheckAttempt(const ReplicaScope& scope, bool starts_attempt);
  // Whether the message fits the state of the stream: repair while it is closed, changes without a
  // gap while it is open. REQUIRES: CheckAttempt accepted the message's scope.
  bool Accepts(const Replicate& message) const;

  // Changes with a smaller sequence have been applied already.
  std::uint64_t next_sequence() const { return next_sequence_; }
  // All changes before `next_sequence` have been applied.
  void Advance(std::uint64_t next_sequence);
  // The synchronisation is complete; the first change to come has `next_sequence`.
  void Open(std::uint64_t next_sequence);
  // Changes are rejected until the next synchronisation.
  void Close() { is_open_ = false; }

 private:
  std::uint64_t primary_process_ = 0, attempt_ = 0;
  bool is_open_ = false;
  std::uint64_t next_sequence_ = 0;
  std::set<std::uint64_t> former_processes_;  // their messages are void
};

}  // namespace pearreach::batch

#endif  // PEARREACH_SRC_TIER_BATCH_BACKUP_STREAM_H_
