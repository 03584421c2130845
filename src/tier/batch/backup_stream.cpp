#include "tier/batch/backup_stream.h"

#include <algorithm>

namespace pearreach::batch {

ReplicaVerdict BackupStream::CheckAttempt(const ReplicaScope& scope, bool starts_attempt) {
  if (former_processes_.contains(scope.process)) return ReplicaVerdict::kSuperseded;
  const bool is_known_process = scope.process == primary_process_;
  if (is_known_process && scope.attempt < attempt_) return ReplicaVerdict::kSuperseded;
  if (is_known_process && scope.attempt == attempt_) return ReplicaVerdict::kAccepted;
  if (!starts_attempt) return ReplicaVerdict::kUnsynchronised;
  if (!is_known_process) {
    former_processes_.insert(primary_process_);
    primary_process_ = scope.process;
  }
  attempt_ = scope.attempt;
  is_open_ = false;
  return ReplicaVerdict::kAccepted;
}

bool BackupStream::Accepts(const Replicate& message) const {
  return message.fill ? !is_open_ : is_open_ && message.first <= next_sequence_;
}

void BackupStream::Advance(std::uint64_t next_sequence) {
  next_sequence_ = std::max(next_sequence_, next_sequence);
}

void BackupStream::Open(std::uint64_t next_sequence) {
  is_open_ = true;
  next_sequence_ = next_sequence;
}

}  // namespace pearreach::batch
